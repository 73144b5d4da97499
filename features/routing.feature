Feature: Routing between instances
  A request is retried at another instance only if that is safe, and is reported as
  "not run" only if no attempt has run.

  Scenario Outline: Retrying a refused request at another instance
    # Guards against a statement of a transaction, or a request that is not idempotent,
    # that runs twice.
    Given a <kind> request that was sent to a peer
    When the peer refuses it with <code> and ran <ran>
    Then a retry at another instance is <allowed>

    Examples:
      | kind    | code             | ran     | allowed   |
      | read    | peer_unreachable | unknown | allowed   |
      | write   | peer_unreachable | unknown | allowed   |
      | write   | not_owner        | not_run | allowed   |
      | begin   | not_owner        | not_run | allowed   |
      | begin   | peer_unreachable | unknown | forbidden |
      | write   | statement_failed | not_run | forbidden |
      | execute | peer_unreachable | unknown | forbidden |
      | commit  | not_owner        | not_run | forbidden |

  Scenario Outline: A read asks the member for its session's position
    # Guards against a member that answers with a state before the session's last write.
    Given a read of a session at position 1024/7
    When it is sent to a <role> in term 2048
    Then the call requires position 1024/7

    Examples:
      | role    |
      | primary |
      | replica |

  Scenario Outline: The last attempt was refused before it ran
    # Guards against the status "not run" for a write whose first attempt may have run
    # because its answer was lost.
    Given a <kind> request whose first attempt <first>
    When the last attempt is refused with queue_full and ran not_run
    Then the caller receives ran <status>

    Examples:
      | kind  | first            | status  |
      | write | may have run     | unknown |
      | write | did not run      | not_run |
      | read  | may have run     | not_run |
