Feature: Platform stand-in
  The table stays consistent under concurrent writes and lost answers.

  Background:
    Given a platform

  Scenario: An answer is lost after the write took effect
    # Guards against treating a lost answer as a write that did not happen.
    Given the platform is in mode lose_answers
    When row "r" is put with value 1 expecting version 0
    Then the connection closes without an answer
    And row "r" has value 1

  Scenario: Of two concurrent writers, one succeeds and the other gets the current rows
    # Guards against accepting two changes of the same version.
    When rows "x" and "y" are put by two callers expecting version 0 of both
    Then one gets versions and the other gets 409 with both rows
    And rows "x" and "y" have the values of one caller

  Scenario: A transaction with one failed expectation changes nothing
    # Guards against applying only a part of an atomic change.
    Given row "x" is put with value 1 expecting version 0
    When "x" and "y" are put expecting version 0 of "x" only
    Then row "y" is absent

  Scenario: A key that is deleted and put again does not get an earlier version
    # Guards against a compare-and-set that succeeds on a recreated row.
    Given row "x" is put with value 1 expecting version 0
    When row "x" is deleted and put again
    Then putting "x" with the first version is refused with 409

  Scenario: A platform that is down neither answers nor executes calls
    # Guards against a simulated outage that only delays writes.
    Given the platform is in mode down
    When row "r" is put with value 1 expecting version 0
    Then no answer comes within 60 s
    And row "r" is absent when the platform is up again

  Scenario: A slow platform answers after its delay
    # Guards against a fault mode that has no effect.
    Given the platform answers after 500 ms
    When row "r" is put with value 1 expecting version 0
    Then no answer comes within 0.4 s
    And the answer comes within 0.2 s

  Scenario: Calls over the rate limits are refused
    # Guards against a proxy that needs more calls than the platform allows.
    Then of 400 writes at once 300 are accepted and 100 get 429
    And of 2100 reads at once 2000 are accepted and 100 get 429
    And a write is accepted after 1 s

  Scenario: The instance list lags behind registrations
    # Guards against callers that rely on a list without lag.
    Given the instance list lags by 2000 ms
    When instance "127.0.0.1:9" registers
    Then the list contains 0 instances
    And the list contains 1 instance after 2 s

  Scenario: An instance that does not accept connections is not listed
    # Guards against a list that keeps crashed instances for ever.
    When instance "127.0.0.1:9" registers
    Then the list contains 1 instance
    When the connect check of "127.0.0.1:9" fails
    Then the list contains 0 instances
    When the connect check of "127.0.0.1:9" succeeds
    Then the list contains 1 instance
