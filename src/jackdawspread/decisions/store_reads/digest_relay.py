"""To which instances of a failure domain a digest is passed on.

The instances form a tree with the origin of the digest at its root, so that no
instance sends to more than a few others, however many there are. Each origin has
another tree: the loss of one instance cuts off different others in each.
"""

from collections.abc import Collection

# Instances to which one instance sends a digest.
FANOUT = 8
# Three levels reach 584 instances; those beyond read the store themselves.
MAX_HOPS = 3


def next_receivers(
    origin: str, instance: str, instances: Collection[str]
) -> tuple[str, ...]:
    """Return the instances to which an instance sends the digest of an origin.

    Parameters
    ----------
    origin : str
        Id of the instance that the digest is about.
    instance : str
        Id of the instance that sends it.
    instances : collection of str
        Ids of all instances of the failure domain.
    """
    ordered = sorted(instances)
    if origin not in ordered or instance not in ordered:
        return ()
    start, count = ordered.index(origin), len(ordered)
    place = (ordered.index(instance) - start) % count
    first = place * FANOUT + 1
    places = range(first, min(first + FANOUT, count))
    return tuple(ordered[(start + place) % count] for place in places)
