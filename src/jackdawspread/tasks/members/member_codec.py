"""Interface of the protocol between the proxy and members."""

from typing import Protocol

from jackdawspread.messages.statements.member_command import MemberCommand
from jackdawspread.messages.statements.member_reply import MemberReply


class MemberCodec(Protocol):
    """Encodes commands for a member and decodes its replies.

    Methods that decode raise ``ValueError`` if a message is invalid.
    """

    def encode_handshake(self, group: str, workspace: str, member: str) -> bytes:
        """Encode the first message of a connection."""

    def encode_command(self, command: MemberCommand) -> bytes:
        """Encode one command."""

    def receive(self, data: bytes) -> None:
        """Add bytes read from the socket."""

    def next_handshake_reply(self) -> MemberReply | None:
        """Return the reply to the first message, None if it is incomplete."""

    def next_reply(self) -> MemberReply | None:
        """Return the next reply, None if it is incomplete."""
