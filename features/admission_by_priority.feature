Feature: Admission of statements by priority
  Where the settings ask for it, statements compete for a member by the priority of
  their routes, and each instance follows what the member can run.

  Scenario: A burst of the least urgent statements does not refuse the urgent ones
    # Guards against urgent callers that are refused beside the least urgent ones, and
    # against slots that idle while statements are refused.
    Given 4 pool hosts that admit by priority, in front of a member with 6 slots
    When statements of the lowest priority arrive at 2.4 times their usual rate for 10 s
    Then under 0.01 of the statements of priority 0 are refused
    And under 0.01 of the statements of priority 1 are refused
    And the member was used for at least 0.75 of the time

  Scenario: One busy workspace does not crowd out the others of its priority
    # Guards against a workspace at five times its rate that takes the room of others.
    Given 4 pool hosts that admit by priority, in front of a member with 6 slots
    When one workspace of priority 1 sends 5 times its usual rate for 10 s
    Then under 0.02 of the statements of the other workspaces are refused

  Scenario: The least urgent statements keep a part of the member
    # Guards against callers that get no answer for as long as urgent ones overload the
    # member.
    Given 4 pool hosts that admit by priority, in front of a member with 6 slots
    When statements of priority 0 alone exceed what the member can run for 10 s
    Then at least 0.05 of the granted statements have the lowest priority

  Scenario: A more urgent statement displaces a waiting one at once
    # Guards against a less urgent caller that waits until its time has expired although
    # its turn was given away.
    Given an admission whose room is used up, at which 2 statements of priority 2 wait
    When a statement of priority 0 arrives
    Then the last of the waiting ones is refused as displaced
    And its caller is told to come back later than the expected wait
    And the statement of priority 0 is the next one

  Scenario: Transactions leave room for single statements
    # Guards against callers that rest inside transactions and block a member.
    Given an admission with a limit of 4 and 20 open transactions
    Then 2 single statements may still be sent

  Scenario: Statements whose answers are lost don't occupy room until they time out
    # Guards against slots that idle for a second after each lost answer.
    Given an admission with a limit of 4 and 4 statements that began 1 s ago
    Then 4 single statements may still be sent
    But no more than that once 4 others have begun

  Scenario: Lost connections don't take the share of a member that no other can replace
    # Guards against a primary whose slots idle because it resets connections.
    Given a member that 4 statements may use at a time
    When it can't be reached 5 times
    Then 3 statements may be in progress

  Scenario: A member that refuses statements gets fewer at once and more again slowly
    # Guards against a flapping member that gets its whole share back after one answer.
    Given a member that 3 statements may use at a time
    When it refuses 5 statements that were sent together
    Then 1 statement may be in progress
    When it answers 1 statement in time while others wait
    Then 2 statements may be in progress
    When it answers 40 statements in time while others wait
    Then 4 statements may be in progress

  Scenario: A member that becomes slow gets fewer statements
    # Guards against a slow member whose queue delays every statement sent to it.
    Given a member that 3 statements may use at a time
    And it has answered 30 statements in 20 ms each
    When it answers 60 statements in 200 ms each while others wait
    Then 1 statement may be in progress

  Scenario: A workspace beyond its rate keeps its tokens for its urgent operations
    # Guards against urgent operations that are refused because the same workspace sends
    # many less urgent ones, and against a kind of operation that gets no token at all.
    Given a workspace with a rate of 40/s at a holder that gives tokens by priority
    When it sends 15 operations of priority 0 and 150 of priority 2 a second for 10 s
    Then under 0.01 of its operations of priority 0 get no token
    And at least 0.03 of its operations of priority 2 get one
    And it got at least 0.95 of its rate

  Scenario: A workspace within its rate gets a token for every operation
    # Guards against a reserve that refuses what the rate allows.
    Given a workspace with a rate of 40/s at a holder that gives tokens by priority
    When it sends 10 operations of priority 0 and 20 of priority 2 a second for 10 s
    Then under 0.01 of its operations of priority 2 get no token
