Feature: The list of instances
  Instances register in the store, so that they can tell each other what they read.

  Scenario: Instances find each other through the store
    # Guards against instances that all read the store since they know of no other.
    Given instances "i1,i2,i3" that register in one store
    When 3 s have passed
    Then "i1" knows "i1,i2,i3"

  Scenario: An acknowledged registration is reported with its times
    # Guards against an instance that acknowledges commits while promotions do not wait
    # for it, as the store does not list it.
    Given instances "i1,i2" that register in one store
    When 63 s have passed
    Then "i1" has reported 2 registrations, each sent before it was acknowledged

  Scenario: A registration that fails is not reported
    # Guards against an instance that counts as registered for a write that was lost.
    Given instances "i1,i2" that register in one store, which does not answer
    When 5 s have passed
    Then "i1" has reported 0 registrations, each sent before it was acknowledged

  Scenario: A restarted instance knows the others at once
    # Guards against a restarted fleet whose instances act as if they were alone.
    Given instances "i1,i2,i3" that register in one store
    When "i2" is lost and 30 s have passed
    And "i2" is started again
    Then "i2" knows "i1,i2,i3"

  Scenario: The entry of a lost instance is dropped and removed
    # Guards against entries of replaced instances that stay for ever: they would delay
    # the reads of all others and lower their limits of connections.
    Given instances "i1,i2,i3" that register in one store
    When "i2" is lost and 300 s have passed
    Then "i1" knows "i1,i3"
    And the store has the entries of "i1,i3"

  Scenario Outline: A record is removed only under its newest version
    # Guards against the removal of an instance that has just registered again.
    Given a record "instance-i2" that was written twice
    When it is removed under the <which> version
    Then the store has <count> records

    Examples:
      | which  | count |
      | first  | 1     |
      | second | 0     |
