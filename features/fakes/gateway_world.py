"""Gateway whose owner and peers are channels of the test."""

from collections.abc import Awaitable, Callable
from typing import Any

from trio import (
    MemoryReceiveChannel,
    current_time,
    open_memory_channel,
    open_nursery,
    run,
)
from trio.testing import MockClock, wait_all_tasks_blocked

from jackdawspread.codecs.session_token import SessionTokenCodec
from jackdawspread.decisions.admission import key_id_of
from jackdawspread.decisions.control.initial_configuration import initial_configuration
from jackdawspread.messages.caller_reply import CallerReply
from jackdawspread.messages.caller_request import CallerRequest
from jackdawspread.messages.caller_submission import CallerSubmission
from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.routed_submission import RoutedSubmission
from jackdawspread.messages.statement import Statement
from jackdawspread.messages.view import View
from jackdawspread.messages.view_member import ViewMember
from jackdawspread.settings.experiment_settings import ExperimentSettings
from jackdawspread.tasks.gateway import Gateway, GatewayEvent
from jackdawspread.tasks.peer_client import PeerClientEvent

OWN_ADDRESS = "self"
KEY = "the-key-of-garden"
WITHDRAWN_KEY = "the-withdrawn-key"
PEER_WITHDRAWN_KEY = "the-key-withdrawn-by-a-peer"


class GatewayWorld:
    """Runs a gateway on a mock clock and exchanges messages with it."""

    def __init__(self) -> None:
        self.tokens = SessionTokenCodec("secret")
        self.owner_addresses: tuple[str, ...] = (OWN_ADDRESS,)
        self.authority_deadline = 1e9
        self.earlier_views: tuple[View, ...] = ()

    def run(self, script: Callable[["GatewayWorld"], Awaitable[Any]]) -> Any:
        """Run a script against the gateway and return its result."""

        async def main() -> Any:
            self.inbox, inbox = open_memory_channel[GatewayEvent](1000)
            owner, self.owner = open_memory_channel[RoutedSubmission](1000)
            peer_client, self.peer_client = open_memory_channel[PeerClientEvent](1000)
            gateway = Gateway(
                OWN_ADDRESS,
                inbox,
                self.inbox,
                {"swap1": owner, "swap2": owner},
                peer_client,
                self.tokens,
                ExperimentSettings(),
            )
            async with open_nursery() as nursery:
                nursery.start_soon(gateway.run)
                self.send_snapshot()
                result = await script(self)
                nursery.cancel_scope.cancel()
            return result

        self.clock = MockClock(autojump_threshold=0.01)
        return run(main, clock=self.clock)

    def send_snapshot(self) -> None:
        """Send a snapshot to the gateway."""
        view = View(1, {"i0": ViewMember(OWN_ADDRESS, "perth")})
        self.inbox.send_nowait(
            ControlSnapshot(
                "i0",
                self.authority_deadline,
                self._configuration(),
                frozenset({key_id_of(PEER_WITHDRAWN_KEY)}),
                (*self.earlier_views, view),
                {"swap1": self.owner_addresses, "swap2": self.owner_addresses},
            )
        )

    def _configuration(self) -> Any:
        document = initial_configuration()
        keys = {
            key_id_of(KEY): ("garden", False),
            key_id_of(WITHDRAWN_KEY): ("garden", True),
            key_id_of(PEER_WITHDRAWN_KEY): ("garden", False),
        }
        document["key_by_id"] = {
            id: {"workspace": workspace, "withdrawn": withdrawn}
            for id, (workspace, withdrawn) in keys.items()
        }
        document["workspace_by_name"] = {
            "garden": {"overrides": {}, "databases": ["swap1"]},
            "orchard": {"overrides": {}, "databases": []},
        }
        return document

    def request(self, kind: str, **fields: Any) -> CallerRequest:
        """Return a request with a valid key."""
        request = CallerRequest(
            kind=RequestKind(kind),
            key=KEY,
            database="swap1",
            statements=(Statement("SELECT 1"),),
            idempotency_key="claim-1" if kind == "write" else "",
            session_token="",
            max_staleness=None,
            deadline=current_time() + 5,
        )
        return request._replace(**fields)

    async def submit(self, request: CallerRequest) -> MemoryReceiveChannel[CallerReply]:
        """Send a request and let the gateway handle it."""
        send, receive = open_memory_channel[CallerReply](1)
        self.inbox.send_nowait(CallerSubmission(request, send))
        await wait_all_tasks_blocked()
        return receive
