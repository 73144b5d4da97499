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

  Scenario Outline: A key that is withdrawn with its route ends the open transaction
    # Guards against statements with a withdrawn key while the route is gone (CONFIG).
    Given a caller of "bounded-db" has written in a transaction
    When its key and its route are removed
    And it sends "<text>" after the change
    Then the statement is refused with NOAUTH and has not run
    And the write of its transaction is not kept

    Examples:
      | text       |
      | READ kept  |
      | WRITE a 2  |
      | COMMIT     |

  Scenario Outline: An open transaction outlives <change>
    # Guards against a change that ends a transaction although its key is valid.
    Given a caller of "bounded-db" has written in a transaction
    When <change> is in force
    And it sends "WRITE a 2" after the change
    And it sends "COMMIT" after the change
    Then its transaction is kept

    Examples:
      | change                                    |
      | the removal of its route                  |
      | the removal of its route and its group    |
      | another member group of its route         |
      | a lower rate of its workspace             |
      | a lower limit of its members' connections |
      | a second key of its workspace             |
