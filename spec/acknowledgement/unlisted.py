"""Actions and bounds of the models of commits that no listed member holds.

A replica that has joined confirms commits before a list names it, or a replica starts
again without its log. An instance that has died or is cut off takes no further actions
once its permit has lapsed.
"""

from spec.acknowledgement import attempts, commits, members, store
from spec.acknowledgement.attempt import FAILOVER, SWITCHOVER
from spec.acknowledgement.model import MODEL
from spec.acknowledgement.rules import Rules

ACTIONS = (
    *MODEL.actions,
    commits.write_elsewhere,
    members.restart,
    attempts.catch_up_with_replicas,
    store.come_back,
    store.settle,
)
# Permits do not lapse, and instances learn the state from announcements.
ACTIONS_WITH_PERMIT = tuple(
    action
    for action in ACTIONS
    if action not in (commits.lose_permit, commits.read_evidence)
)
BOUNDS = Rules(
    kinds=(FAILOVER, SWITCHOVER),
    max_tokens=1,
    max_term=2,
    silent_primary=True,
    decide_again=True,
    compare_demoted=True,
    await_fence_when_demoted=True,
)
