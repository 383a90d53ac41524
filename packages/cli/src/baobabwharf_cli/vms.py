"""Command that removes permanently stopped VMs."""

from baobabwharf_core.changes import Change, RemoveVm
from baobabwharf_core.ids import VmId
from cleo.helpers import argument

from baobabwharf_cli.base_command import ChangeCommand


class RemoveVmCommand(ChangeCommand):
    """Remove a VM; its id cannot be used again."""

    name = 'vm remove'
    description = 'Remove a VM that has stopped permanently.'
    arguments = [argument('vm', 'Id of the VM.')]

    def build_change(self) -> Change:
        """Return the change that removes the VM."""
        return RemoveVm(VmId(self.argument('vm')))
