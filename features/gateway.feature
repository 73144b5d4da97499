Feature: Gateway
  Admission, routing and replies of one instance, with fakes for the owner and the peers.

  Scenario Outline: A request that may not run is refused before it is routed
    # Guards against requests that run for another workspace, with a withdrawn key,
    # or on an instance that the others no longer count as a member.
    Given a gateway with workspaces "garden" and "orchard"
    When a caller sends a <kind> with <credentials>
    Then the caller receives <code> and ran not_run
    And nothing was routed

    Examples:
      | kind  | credentials                                | code                     |
      | read  | no key                                     | unauthorized             |
      | read  | an unknown key                             | unauthorized             |
      | read  | a key withdrawn in the configuration       | unauthorized             |
      | read  | a key withdrawn by a peer                  | unauthorized             |
      | read  | a session token of another workspace       | bad_session_token        |
      | read  | a session token with a changed signature   | bad_session_token        |
      | read  | a database of another workspace            | forbidden                |
      | read  | an unknown database                        | unknown_database         |
      | write | no request id                              | idempotency_key_required |
      | read  | an authority that has expired               | no_authority             |
      | read  | a deadline that has passed                 | deadline_exceeded        |

  Scenario: A key stays within the gateway
    # Guards against keys that leak to a peer, a database or the log.
    Given a gateway with workspaces "garden" and "orchard"
    When a caller sends a write with a valid key
    Then the routed request, its peer frame and its call to a member lack the key
    And the log lacks the key

  Scenario: Answers that arrive late and out of order reach their own callers
    # Guards against an answer that is delivered to another caller's request.
    Given a gateway with workspaces "garden" and "orchard"
    When 20 callers send reads and the owner answers them in reverse order, twice each
    Then each caller got the answer to its own request once

  Scenario: The requests of an unreachable peer are rerouted and its late answer is dropped
    # Guards against a retry that is answered with the answer of the abandoned attempt.
    Given a gateway with workspaces "garden" and "orchard"
    And the database's owners are at peers "p1" and "p2"
    When a caller sends a write with a valid key
    And the control task reports that only "p2" is alive
    And the answer of "p1" arrives late
    Then the write was sent to "p1" and then to "p2" under another id
    And the caller is still waiting

  Scenario: The rate bucket of a joining instance is empty until its share applies
    # Guards against a refill for the time before the instance had its share, which
    # would admit a burst that the other instances have admitted already.
    Given a gateway with workspaces "garden" and "orchard"
    And the instance is in a new view that settles after 3 s
    When 100 callers send reads as soon as the view has settled
    Then at most 1 of them was routed at once

  Scenario: An instance resumes from a pause with requests that waited for their rate
    # Guards against a paused instance that uses a share which others have by now.
    Given a gateway with workspaces "garden" and "orchard"
    When 150 callers send reads and the instance is paused for 8 s before it continues
    Then at most 101 of them were routed

  Scenario: A write that no owner answers
    # Guards against a caller that waits indefinitely, and "not run" after sending.
    Given a gateway with workspaces "garden" and "orchard"
    When a caller's write is never answered
    Then the caller receives outcome_unknown and ran unknown
