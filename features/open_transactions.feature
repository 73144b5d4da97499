Feature: Open transactions and changes of the configuration
  The key of a caller is checked at each statement of its transaction. Changes of the
  route apply from the next transaction on.

  Background:
    Given an instance with stand-ins for the store and the members

  Scenario: The log names the version that a statement of a transaction was checked with
    # Guards against a log that doesn't tell whether a change was known to the instance
    # when the statement ran.
    Given a caller of "primary-db" has written in a transaction
    When the log lines are collected
    And a version without a change for it is in force
    And it sends "READ kept" after the change
    Then the log line of the statement names the newest version

  Scenario Outline: A key that passed to another workspace ends the open transaction
    # Guards against statements that run for a workspace that no longer holds the
    # caller's key (UNASKED).
    Given a caller of "primary-db" has written in a transaction
    When its key passes to another workspace
    And it sends "<text>" after the change
    Then the statement is refused with ABORTED and has not run
    And the write of its transaction is not kept
    And its next transaction runs for the new workspace

    Examples:
      | text       |
      | READ kept  |
      | WRITE a 2  |
      | COMMIT     |
