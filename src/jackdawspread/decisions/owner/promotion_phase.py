"""Phases of a promotion."""

from enum import StrEnum


class PromotionPhase(StrEnum):
    """What the promotion state machine is doing."""

    WATCHING = "watching"
    PREPARING = "preparing"
    OPENING = "opening"
