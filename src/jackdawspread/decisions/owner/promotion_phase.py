"""Phases of a promotion."""

from enum import StrEnum


class PromotionPhase(StrEnum):
    """Phase of the promotion state machine; ``WATCHING`` if no promotion runs."""

    WATCHING = "watching"
    PREPARING = "preparing"
    OPENING = "opening"
