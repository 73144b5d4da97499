Feature: Bench
  The checks of the bench find what they are there to find.

  Scenario: A clean run has no violation
    # Guards against a checker that reports faults of its own.
    Given a run in which claim c1 was acknowledged and stored
    Then the run has no violation

  Scenario Outline: A broken promise is found
    # Guards against a checker that passes a run with a broken promise.
    Given a run in which claim c1 was acknowledged and stored
    And <event>
    Then the run violates "<promise>"

    Examples:
      | event                                         | promise                             |
      | claim c2 was acknowledged and not stored      | binding records lost                |
      | claim c2 was acknowledged and stored twice    | binding records doubled             |
      | claim c2 was refused as not run and stored    | refusals marked not_run that ran    |
      | read r2 was refused as not run and logged     | refusals marked not_run that ran    |
      | own read r2 lacked an acknowledged claim      | read-your-writes violations         |
      | read r2 was answered with another's marker    | answers delivered to the wrong caller |
      | claim c2 was acknowledged as sold out and stored | records of writes acknowledged as without effect |
      | a packet's stock disagrees with its claims    | totals that disagree with their records |
      | database swap1 could not be read              | databases that could not be checked |
      | the primary of swap1 was lost for good        | no write was acknowledged after its primary was lost |

  Scenario: An unknown outcome may have run
    # Guards against counting an honest unknown outcome as a violation.
    Given a run in which claim c1 was acknowledged and stored
    And claim c2 ended unknown and stored
    Then the run has no violation

  Scenario: The failover gap spans the loss of the primary
    # Guards against measuring from the fault instead of the last acknowledged write.
    Given writes to swap1 acknowledged at 1.0, 2.0, 2.1, 3.5 and 3.6 seconds
    When the primary of swap1 is killed at 2.05 seconds
    Then the failover gap of swap1 is 1.4 seconds

  Scenario: A claim with an unknown outcome is repeated with the same id elsewhere
    # Guards against a load tool that claims twice, or gives up, after a lost answer.
    Given an instance that answers unknown and an instance that acknowledges
    When a caller claims a packet
    Then both instances saw the same Idempotency-Key and body
    And the claim is acknowledged and effective

  Scenario: A refusal that says not run is final
    # Guards against a load tool that hides refusals by repeating them.
    Given an instance that answers not_run and an instance that acknowledges
    When a caller claims a packet
    Then only the first instance was called
    And the claim is refused

  Scenario: No call starts after the end of a run
    # Guards against a run that lasts as long as its slowest caller has work.
    Given an instance that answers unknown and an instance that acknowledges
    When a caller claims a packet after the end of the run
    Then no instance was called
    And the claim is dropped

  Scenario: The schedule depends on the seed alone and is bounded
    # Guards against runs that cannot be repeated or do not end.
    Then two schedules with one seed are equal, and others differ
    And a schedule holds at most its operations and its duration

  Scenario: A process that ends by itself is reported
    # Guards against a run that passes although a process crashed on the way.
    When one process ends by itself and another is killed
    Then only the first one counts as crashed

  Scenario: Every process ends with its block, also a frozen one
    # Guards against processes left behind after an error.
    When a block that started a frozen and a running process ends with an error
    Then both processes have ended

  Scenario: The checker reads every page from the primary in the highest term
    # Guards against records on a later page counting as lost, and against reading a
    # member that has been replaced.
    Given a replaced primary without records and a primary with 1500 records
    When the checker reads the database
    Then it has found 1500 records
    And it has connected before it read

  Scenario: No member is called the primary before it is one
    # Guards against a promotion that a test believes in before it has happened: with
    # the third member frozen, the first one passed for the new primary.
    Given two replicas of which the second becomes primary after 3 questions
    When the bench asks for the primary
    Then it is told the second member

  Scenario: A request id anywhere in a member's log is found
    # Guards against a refused request that ran and is overlooked.
    Given a replaced primary without records and a primary with 1500 records
    When the checker reads the logs
    Then the request id inside the statements of the log is found

  Scenario: A workspace and its key come from the administration API
    # Guards against a launcher that sends other requests than operators may, and
    # against limits that the API passes over, so that the default rate applies.
    Given an administration API
    When the bench creates a workspace
    Then the operator's credential came with every request
    And the bench has the key
