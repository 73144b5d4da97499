Feature: The configuration that an instance keeps
  An instance takes what is newer, from whomever it comes, and does not decide for long
  by what it knows to be outdated.

  Scenario: A copy arrives before the store has answered the instance
    # Guards against a process that ends because the age of the copy is not known yet
    # (three growths, seed 902: five exits after restarts).
    Given an instance that has just started
    When another instance announces version 5 and gives a copy of it
    And the store answers with version 3 as of 2 s ago
    Then version 5 is in use
    And its age is known

  Scenario: The store corrects what a copy of the earlier version does not say
    # Guards against a number of synchronous replicas that stays assumed until the next
    # version, as the copy has the same revision.
    Given an instance that has just started
    When an instance of the earlier version announces version 3 and gives a copy of it
    Then the groups in use have 1 synchronous replicas
    When the store answers with version 3, whose groups have 0 synchronous replicas
    Then the groups in use have 0 synchronous replicas

  Scenario: An instance starts after a restore, before the operator has written again
    # Guards against a confirmed change that comes back older at restarted instances.
    Given an instance that has just started
    When the store answers with version 3 of epoch 2
    And another instance announces version 5 of epoch 1 and gives a copy of it
    Then version 5 is in use

  Scenario: An announcement of what is held confirms it
    # Guards against instances without a path to the store that refuse everything once
    # their configuration is too old.
    Given an instance that has just started
    When the store answers with version 3 as of 0 s ago
    And 10 s later another instance announces version 3 as of 1 s ago
    Then the age of the configuration is 1 s

  Scenario: A failed fetch is repeated at another instance
    # Guards against an instance that waits for a source that is gone.
    Given an instance that has just started
    When the store answers with version 3 as of 0 s ago
    And instances "a" and "b" announce version 5, and the first fetch fails
    Then the other one is asked

  Scenario: A version that does not exist is announced
    # Guards against one odd datagram that makes instances refuse everything.
    Given an instance that has just started
    When the store answers with version 3 as of 0 s ago
    And instance "a" announces version 99, and no fetch succeeds
    And 3 s later another instance announces version 3 as of 0 s ago
    Then admission is told that version 3 is the newest one

  Scenario: A version arrives that is not the newest one known
    # Guards against a withdrawn key that works longer with each version in between: the
    # time for which an outdated configuration may be used began anew.
    Given an instance that has just started
    When the store answers with version 3 as of 0 s ago
    And instance "a" announces version 7, and no fetch succeeds
    And 1 s later the store answers with version 5
    Then version 7 is the newest one, and one is missing for 1 s

  Scenario: Versions come in quick succession, and each arrives late
    # Guards against an instance that is always some versions behind, and never counts as
    # outdated since a newer one has just been announced.
    Given an instance that has just started
    When the store answers with version 3 as of 0 s ago
    And instance "a" announces version 5, and no fetch succeeds
    And 1 s later it announces version 7
    And 1 s later it announces version 9
    And it gives a copy of version 5 as of 2 s ago
    Then version 9 is the newest one, and one is missing for 1 s

  Scenario: A version arrives that the store had long after a newer one was announced
    # Guards against refusals for an announced version that does not exist.
    Given an instance that has just started
    When the store answers with version 3 as of 0 s ago
    And instance "a" announces version 99, and no fetch succeeds
    And 2 s later the store answers with version 5
    Then admission is told that version 5 is the newest one

  Scenario: The configuration is removed from the store
    # Guards against an instance that goes on with what the store no longer has, while
    # one that starts refuses everything.
    Given an instance that has just started
    When the store answers with version 3 as of 0 s ago
    And the feed reports its removal, and 4 s later that nothing has changed
    Then the age of the configuration is 4 s

  Scenario: A copy does not lead to what was announced
    # Guards against the use of changes that were applied to another configuration.
    Given an instance that has just started
    When the store answers with version 3 as of 0 s ago
    And instance "a" announces version 5 and gives the changes to version 4
    Then version 3 is in use
    And the next fetch asks for everything

  Scenario: A digest confirms the configuration, but names other evacuations
    # Guards against a reader that begins after a change which it does not have (model
    # copies, digest-of-other-evacuations).
    Given an instance that has just started
    When the store answers with version 3 as of 0 s ago
    And 1 s later an instance at position 9 announces version 3 and an evacuation
    Then the instance knows all changes up to position 3
    And a copy is fetched

  Scenario: A copy arrives after a newer answer of the store
    # Guards against a late copy that ends an evacuation (model copies, older-copy).
    Given an instance that has just started
    When the store answers with version 3 as of 0 s ago
    And 1 s later an instance at position 9 announces version 3 and an evacuation
    And the store reports an evacuation at position 12 before the copy arrives
    Then the failure domain is still evacuated

  Scenario: No reader confirms what an instance holds
    # Guards against an instance that relies on readers which hold something else, until
    # its configuration is too old and it refuses everything.
    Given an instance that has just started
    When the store answers with version 3 as of 0 s ago
    And 3 readers announce version 2 for 8 s
    Then it begins to read the store

  Scenario Outline: An outdated configuration is used for a short time
    # Guards against a withdrawn key that works although the instance knows better, and
    # against refusals during each ordinary change.
    Given an instance with version 3, which may be outdated for 2 s
    When a newer version has been known for <known> s and <arrives>
    Then an operation is <result>

    Examples:
      | known | arrives         | result   |
      | 1.5   | has not arrived | admitted |
      | 2.5   | has not arrived | refused  |
      | 2.5   | arrives         | admitted |
