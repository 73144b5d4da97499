"""Generated input of the wire protocol of callers."""

from hypothesis import example, given, settings
from hypothesis import strategies as st

from jackdawspread.messages.statements.close_session import CloseSession
from jackdawspread.messages.statements.session_request import SessionRequest
from jackdawspread.platform.caller_wire_codec import CallerWireCodec

MESSAGES = (
    b"START d k\r\n",
    b"QUERY 1 READ a\r\n",
    b"QUERY 2 WRITE a \xff\r\n",
    b"QUERY 3 SET a b\r\n",
    b"QUERY 4 PREPARE n READ r\r\n",
    b"QUERY - STATUS\r\n",
    b"QUERY\r\n",
    b"BYE\r\n",
    b"a\nb\r\n",
    b"\r",
    b"\r\n",
)
LONG_LINE = b"START d " + b"x" * (1024 * 1024) + b"\r\n"


def decode(data: bytes, cuts: list[int]) -> list[object]:
    """Pass bytes to the codec in pieces; return its messages and a ValueError."""
    codec, seen = CallerWireCodec(), []
    ends = sorted({cut % (len(data) + 1) for cut in cuts} | {len(data)})
    try:
        for start, end in zip([0, *ends], ends, strict=False):
            codec.receive(data[start:end])
            if not seen and (handshake := codec.next_handshake()) is not None:
                seen.append(handshake)
            while seen and (message := codec.next_message()) is not None:
                assert isinstance(message, SessionRequest | CloseSession), message
                seen.append(message)
    except ValueError as error:
        seen.append(str(error))
    return seen


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(
    st.lists(st.sampled_from(MESSAGES) | st.binary(max_size=20), max_size=6),
    st.lists(st.integers(0, 200), max_size=8),
)
@example([MESSAGES[0], MESSAGES[1][:-1], b"\n"], [24, 25])
@example([LONG_LINE], [1024 * 1024, 1024 * 1024 + 8])
def fuzz_caller_wire(parts: list[bytes], cuts: list[int]) -> None:
    """Check that the messages do not depend on how the bytes are split."""
    data = b"".join(parts)
    assert decode(data, cuts) == decode(data, [])
