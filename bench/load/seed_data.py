"""Names of the data that a run starts from."""

PACKETS_PER_DATABASE = 24
PACKET_QUANTITY = 150
BUYERS_PER_DATABASE = 40
LOWEST_RATING = 1
HIGHEST_RATING = 9


def initial_packet(index: int, callers: int) -> tuple[str, str]:
    """Return the name of an initial packet and of the gardener who offers it."""
    owner = f"caller-{index % callers}"
    return f"{owner}/initial-{index}", owner


def buyer_name(index: int) -> str:
    """Return the name of a buyer."""
    return f"buyer-{index}"
