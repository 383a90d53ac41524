"""Define the RPC messages that read the document of a deployment."""

import msgspec
from baobabwharf_core.ids import VmId

from baobabwharf_daemon.replica_messages import ReplyKind

DOCUMENT_PATH = '/baobabwharf.Changes/Document'


class DocumentRequest(msgspec.Struct, frozen=True):
    """Ask the leader for the document of the newest deployment."""

    sender: VmId


class DocumentReply(msgspec.Struct, frozen=True):
    """Return the document, read after a majority confirmed the leader.

    The document is None until a deployment has been accepted.
    """

    kind: ReplyKind
    document: bytes | None = None
    leader_id: VmId | None = None
