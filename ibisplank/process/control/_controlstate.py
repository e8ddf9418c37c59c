"""Latest configuration and VM list of a process; neither ever reverts."""

from ibisplank.connection import ConfigChanges, ConfigSnapshot
from ibisplank.version import Change, ConfigState, VmList

#: Changes kept for peers that lag; those further behind get a snapshot.
KEPT_CHANGES = 200


class ControlState:
    """Latest configuration and VM list that a process has received."""

    def __init__(self) -> None:
        self.config = ConfigState()
        self.vm_list = VmList()
        self._changes: list[Change] = []

    def update_vm_list(self, vm_list: VmList) -> bool:
        """Store a VM list if it is newer; return whether it was."""
        if vm_list.serial <= self.vm_list.serial:
            return False
        self.vm_list = vm_list
        return True

    def update_config(
        self,
        update: ConfigChanges | ConfigSnapshot,
    ) -> ConfigChanges | ConfigSnapshot | None:
        """Apply a configuration update; return the part that was new."""
        match update:
            case ConfigSnapshot():
                if update.state.revision <= self.config.revision:
                    return None
                self.config = update.state
                self._changes = []
                return update
            case ConfigChanges():
                return self._apply(update)

    def make_config_update(self, after: int) -> ConfigChanges | ConfigSnapshot:
        """Return the update for a peer that has a given revision.

        These are the changes after that revision if there are any and all of
        them are kept, else the whole configuration.
        """
        changes = tuple(
            change for change in self._changes if change.revision > after
        )
        if changes and changes[0].revision == after + 1:
            return ConfigChanges(changes)
        return ConfigSnapshot(self.config)

    def _apply(self, update: ConfigChanges) -> ConfigChanges | None:
        applied = []
        for change in update.changes:
            state = self.config.apply(change)
            if state.revision == self.config.revision:
                continue
            self.config = state
            applied.append(change)
        self._changes = [*self._changes, *applied][-KEPT_CHANGES:]
        return ConfigChanges(tuple(applied)) if applied else None
