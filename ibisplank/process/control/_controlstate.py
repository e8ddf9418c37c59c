"""What a process knows of configuration and VM list, and how it only rises."""

from ibisplank.connection import ConfigFull, ConfigNews
from ibisplank.version import Change, ConfigState, VmList

#: Changes kept for peers that lag; those further behind get the whole.
KEPT_CHANGES = 200


class ControlState:
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
        update: ConfigNews | ConfigFull,
    ) -> ConfigNews | ConfigFull | None:
        """Take in configuration; return the part that was news."""
        match update:
            case ConfigFull():
                if update.state.revision <= self.config.revision:
                    return None
                self.config = update.state
                self._changes = []
                return update
            case ConfigNews():
                return self._apply(update)

    def make_config_update(self, after: int) -> ConfigNews | ConfigFull:
        """Return what a peer lacks that has a revision."""
        changes = tuple(
            change for change in self._changes if change.revision > after
        )
        if changes and changes[0].revision == after + 1:
            return ConfigNews(changes)
        return ConfigFull(self.config)

    def _apply(self, update: ConfigNews) -> ConfigNews | None:
        applied = []
        for change in update.changes:
            state = self.config.apply(change)
            if state.revision == self.config.revision:
                continue
            self.config = state
            applied.append(change)
        self._changes = [*self._changes, *applied][-KEPT_CHANGES:]
        return ConfigNews(tuple(applied)) if applied else None
