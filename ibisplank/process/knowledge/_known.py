"""What a process knows of configuration and VM list, and how it only rises."""

from ibisplank.connection import ConfigChanges, ConfigSnapshot
from ibisplank.version import Change, ConfigState, VmList

#: Changes kept for peers that lag; those further behind get the whole.
KEPT_CHANGES = 200


class Known:
    """Latest configuration and VM list of one process."""

    def __init__(self) -> None:
        self.config = ConfigState()
        self.listing = VmList()
        self._changes: list[Change] = []

    def learn_listing(self, listing: VmList) -> bool:
        """Take in a VM list; return whether it is newer."""
        if listing.serial <= self.listing.serial:
            return False
        self.listing = listing
        return True

    def learn_config(
        self,
        news: ConfigChanges | ConfigSnapshot,
    ) -> ConfigChanges | ConfigSnapshot | None:
        """Take in configuration; return the part that was news."""
        match news:
            case ConfigSnapshot():
                if news.state.revision <= self.config.revision:
                    return None
                self.config = news.state
                self._changes = []
                return news
            case ConfigChanges():
                return self._apply(news)

    def answer_ask(self, after: int) -> ConfigChanges | ConfigSnapshot:
        """Return what a peer lacks that has a revision."""
        changes = tuple(
            change for change in self._changes if change.revision > after
        )
        if changes and changes[0].revision == after + 1:
            return ConfigChanges(changes)
        return ConfigSnapshot(self.config)

    def _apply(self, news: ConfigChanges) -> ConfigChanges | None:
        fresh = []
        for change in news.changes:
            state = self.config.apply(change)
            if state.revision == self.config.revision:
                continue
            self.config = state
            fresh.append(change)
        self._changes = [*self._changes, *fresh][-KEPT_CHANGES:]
        return ConfigChanges(tuple(fresh)) if fresh else None
