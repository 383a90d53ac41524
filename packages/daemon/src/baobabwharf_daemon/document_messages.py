"""Describe the call that reads the document of a deployment."""

import msgspec
from baobabwharf_core.ids import VmId

from baobabwharf_daemon.replica_messages import ReplyKind

DOCUMENT_PATH = '/baobabwharf.Changes/Document'


class DocumentRequest(msgspec.Struct, frozen=True):
    """Ask the leader for the document of the newest deployment."""

    sender: VmId


class DocumentReply(msgspec.Struct, frozen=True):
    """Give the document, read after a majority confirmed the leader.

    It is None while no deployment was accepted.
    """

    kind: ReplyKind
    document: bytes | None = None
    leader_id: VmId | None = None
