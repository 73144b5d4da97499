Feature: How an instance learns of promotion states
  An instance acknowledges commits by itself only while it knows from a recent read of
  the store that no promotion can lose them.

  Scenario Outline: A time of the store's clock is never converted to a later local time
    # Guards against evidence that counts as newer than it is, so that an instance
    # acknowledges commits after a promotion has been recorded.
    Given a store whose clock runs <ppm> ppm faster than the local one
    When an instance makes calls whose answers take any time
    Then no time of the store's clock is converted to a later local time
    And the converted time is at most <ms> ms too early after each call

    Examples:
      | ppm  | ms  |
      | 0    | 700 |
      | 900  | 700 |
      | -900 | 700 |

  Scenario: The bound of the store's clock follows a clock that is set forward
    # Guards against a bound that stays too small after the store has moved to another
    # machine, so that old evidence counts as new.
    Given a store whose clock runs 0 ppm faster than the local one
    When its clock is set forward by 100 s and the instance makes one more call
    Then no time of the store's clock is converted to a later local time

  Scenario: Nothing is converted before the first call
    # Guards against evidence with a time of another machine's clock.
    When no call has been made
    Then every time of the store's clock is infinitely long ago

  Scenario: One instance reads for the fleet
    # Guards against reads by every instance, which the store answers in a fleet of 31.
    Given polls of instances "a1:z1,a2:z1,b1:z2,b2:z2,c1:z3" that know each other
    When the polls run for 1.5 s
    And the polls run for 5 s
    Then only "a1" has read, 5 to 5 times
    And the newest states of each instance are at most 1.1 s old

  Scenario: Instances that start together wait for the first one's read
    # Guards against a read by each instance of a fleet that starts for the first time.
    Given polls of instances "a1:z1,a2:z1,b1:z2,b2:z2,c1:z3"
    When the polls run for 2 s
    Then no poll has read
    When they get to know each other and 1.3 s pass
    Then only "a1" has read, 1 to 2 times

  Scenario: A restarted instance reads once when it is registered
    # Guards against writes that are verified at all members for a second after a fleet
    # has lost its power, each over new connections.
    Given polls of restarted instances "a1:z1,a2:z1,b1:z2,b2:z2,c1:z3"
    When they are registered and 300 ms pass
    Then each poll has read once
    When the polls run for 5 s
    Then only "a1" has read, 4 to 5 times

  Scenario: The next instance reads after the loss of the first one
    # Guards against a fleet without evidence until a lost instance is unregistered.
    Given polls of instances "a1:z1,a2:z1,b1:z2,b2:z2,c1:z3" that know each other
    When the polls run for 3 s
    And "a1" is lost and 3 s pass
    Then only "b1" has read, 2 to 3 times
    And the newest states of each other instance than "a1" are at most 1.1 s old

  Scenario: A failure domain that hears nothing reads for itself
    # Guards against permits that lapse after 2.5 s in a failure domain that is cut off
    # from the others and not from the store.
    Given polls of instances "a1:z1,a2:z1,b1:z2,b2:z2,c1:z3" that know each other
    When the polls run for 3 s
    And "z2" is cut off from the other failure domains and 6 s pass
    Then only "a1,b1" have read
    And the newest states of each instance are at most 1.9 s old

  Scenario: One lost relay leaves the permit
    # Guards against permits that a single lost datagram takes away.
    Given polls of instances "a1:z1,a2:z1,b1:z2,b2:z2,c1:z3" that know each other
    When the polls run for 3.5 s
    And the relays to "a2" are lost for 1 s
    Then the states of "a2" were never more than 2.2 s old

  Scenario: A store that is down is asked seldom
    # Guards against a fleet that asks a store that is down each second from every
    # instance, and against states that seem recent although nobody could read them.
    Given polls of instances "a1:z1,a2:z1,b1:z2,b2:z2,c1:z3" that know each other
    When the polls run for 3 s
    And the store is down for 6 s
    Then nobody has learned anything meanwhile
    And the store was asked at most 21 times
    When the store is back and 3 s pass
    Then the newest states of each instance are at most 1.1 s old

  Scenario: A relay counts as read no later than it was, also at an instance far away
    # Guards against an offset that is measured with a slow call: it must not make the
    # states newer.
    Given polls of instances "a1:z1,b1:z2" of which "b1" knows the store's clock by a call of 0.4 s
    When the polls run for 5 s
    Then each state that "b1" has learned counts as 0.3 to 0.5 s older than at "a1"

  Scenario: An instance that does not know the store's clock learns nothing from relays
    # Guards against times of a clock that was never compared.
    Given polls of instances "a1:z1,b1:z2" of which "b1" does not know the store's clock
    When the polls run for 3 s
    Then "b1" has read for itself

  Scenario: The states of all groups are read over several pages
    # Guards against groups that count as groups without a record.
    Given polls of instances "a1:z1,b1:z2" that know each other
    And pages of 2 rows and records of 5 groups
    When the polls run for 2 s
    Then "b1" has learned of 5 groups

  Scenario: Pages of two epochs are not put together
    # Guards against a record of the copy beside one from before the restore.
    Given polls of instances "a1:z1,b1:z2" that know each other
    And pages of 2 rows and records of 5 groups
    When the store is restored between two pages and 0.5 s pass
    Then nobody has learned anything meanwhile

  Scenario Outline: A record that can't be read gives no evidence
    # Guards against commits that are acknowledged without verification although a
    # request may be outstanding that the record no longer shows.
    Given polls of instances "a1:z1,b1:z2" that know each other
    When the record of a group is <content> and 3 s pass
    Then nobody has learned anything meanwhile
    When the record is readable again and 2 s pass
    Then "b1" has learned of 1 groups

    Examples:
      | content                        |
      | not JSON                       |
      | without a token                |
      | with a log end of three numbers |

  Scenario Outline: The age of the epoch is passed on
    # Guards against instances that verify each commit for 6 s after their start, and
    # against one that gets a permit while locks of the epoch before may be held.
    Given polls of instances "a1:z1,b1:z2" that know each other
    When the marker of epoch 1 is <marker> and 1.5 s pass
    Then "b1" has learned that the epoch is <least> to <most> s old

    Examples:
      | marker            | least | most |
      | missing           | 0     | 0    |
      | 3 s old           | 3.9   | 4.1  |
      | of the future     | 0     | 0    |
      | not JSON          | 0     | 0    |
      | of epoch 2        | 0     | 0    |

  Scenario: States that do not fit into a datagram are not passed on in part
    # Guards against groups that count as groups without a record.
    Given polls of instances "a1:z1,b1:z2" that know each other
    And pages of 500 rows and records of 1000 groups
    When the polls run for 4 s
    Then "a1" has learned of 1000 groups
    And "b1" has read for itself

  Scenario: A suspended group is relayed with what it awaits
    # Guards against a state that loses its outstanding members on the way.
    Given polls of instances "a1:z1,b1:z2" that know each other
    When a group is suspended with an outstanding request for "m2" and 1.2 s pass
    Then "b1" has learned that it is suspended, with "m2" outstanding and the log end 3/9

  Scenario Outline: Datagrams about promotions arrive unchanged
    # Guards against announcements that their receiver ignores.
    When a datagram "<message>" is encoded and decoded
    Then the datagram is unchanged

    Examples:
      | message              |
      | relayed states       |
      | an idle state        |
      | no states            |
      | an announcement      |
      | a confirmation       |

  Scenario Outline: Malformed datagrams about promotions are ignored
    # Guards against a peer that ends the task, or that takes the evidence of a group.
    When a datagram about promotions with <fields> is decoded
    Then the datagram is dropped

    Examples:
      | fields                                                  |
      | [2, 11, "i1", 1, 1e999, []]                             |
      | [2, 11, "", 1, 5.0, []]                                 |
      | [2, 11, "i1", -1, 5.0, []]                              |
      | [2, 11, "i1", 1, 5.0, [["g"]]]                          |
      | [2, 11, "i1", 1, 5.0, [["g", 2, 3]]]                    |
      | [2, 11, "i1", 1, 5.0, [["g", 1, 3], ["g", 1, 3]]]       |
      | [2, 11, "i1", 1, 5.0, [["g h", 1, 3]]]                  |
      | [2, 11, "i1", 1, 5.0, [], -1.0]                         |
      | [2, 11, "i1", 1, 5.0, [], 1e999]                        |
      | [2, 12, 1, ["g", 1, 3, -1]]                             |
      | [2, 12, 1, ["g", 1, 3, 9223372036854775808]]            |
      | [2, 12, 1, ["g", 1, 3, 4, true, ["m 1"]]]               |
      | [2, 12, 1, ["g", 1, 3, 4, true, ["m1"], "m\r"]]         |
      | [2, 12, 1, ["g", 1, 3, 4, true, ["m1"], "m1", [3]]]     |
      | [2, 12, 1, ["g", 1, 3, 4, true, ["m1"], "m1", [-1, 2]]] |
      | [2, 12, -1, ["g", 1, 3]]                                |
      | [2, 13, 1, ""]                                          |
      | [2, 13, -1, "i1"]                                       |
      | [2, 13, 1]                                              |

  Scenario: Any fields of a datagram about promotions are checked
    # Guards against values that the type of a message allows and no task can use.
    Then any fields give a checked message about promotions or none
