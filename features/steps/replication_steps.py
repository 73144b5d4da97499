"""Steps that check the replicated log over generated histories."""

from collections import Counter
from random import Random

from behave import then
from behave.runner import Context

from support.replication_model import ReplicationModel

STEPS = 600
# Rare terms and frequent replication, so that acknowledgements and promotions
# both occur in most histories.
WEIGHT_BY_ACTION = {
    "prepare": 4,
    "open": 3,
    "follow": 4,
    "write": 4,
    "poll": 6,
    "take": 6,
    "acknowledge": 5,
}


def run_history(seed: int) -> ReplicationModel:
    """Run one history; the seed repeats it."""
    random = Random(seed)
    model = ReplicationModel()
    actions = random.choices(
        list(WEIGHT_BY_ACTION), list(WEIGHT_BY_ACTION.values()), k=STEPS
    )
    newest = 1
    for action in actions:
        if action == "prepare" and random.random() < 0.1:
            newest += 1
        term = max(1, newest - random.choice((0, 0, 0, 0, 1, 2)))
        getattr(model, action)(random.randrange(3), term)
    model.check_prefixes()
    return model


@then("in {count:d} generated histories no acknowledged entry is lost")
def no_loss(context: Context, count: int) -> None:
    """Run generated histories against the decisions."""
    reached: Counter[str] = Counter()
    for seed in range(count):
        try:
            model = run_history(seed)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
        later = len(model.primary_by_term) > 1
        reached["acknowledged"] += bool(model.acknowledged)
        reached["both"] += bool(model.acknowledged) and later
        reached["truncated"] += model.truncations > 0
    print(f"histories={count} reached={dict(reached)}")
    # A history without an acknowledgement before a promotion checks little.
    assert reached["both"] > count / 2, reached
    assert reached["truncated"] > count / 20, reached
