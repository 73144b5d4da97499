Feature: A store that is restored from a copy
  A restored store lacks its newest writes and gives their versions again. What an
  instance knows from before stays true where others rely on it, and is compared with
  nothing from after.

  Scenario: A fencing token is not used again after the store was restored
    # Guards against two holders with one token (incident CONFIG, ONE on saltbush).
    Given an instance with stand-ins for the store and the members
    And the store has been copied
    When the primary announces its shutdown
    Then another member is the primary before the old one has stopped
    When the store is restored
    And the primary announces its shutdown
    Then another member is the primary before the old one has stopped
    And each promotion had another fencing token

  Scenario: A key that is withdrawn under a version given out again stops working
    # Guards against a feed that goes on from a version of the lost history.
    Given an instance with stand-ins for the store and the members
    And the store has been copied
    When other rows are written 5 times and the configuration is confirmed
    And the store is restored
    And a caller's key is withdrawn and other rows are written 10 times
    Then its next statements are refused with NOAUTH

  Scenario: A part of the rates never has two holders after the store was restored
    # Guards against a lease that the copy gives to its former holder.
    Given any order of writes, pauses, crashes, copies and restores with 4 instances
    Then no part was used by two of them at the same time

  Scenario: A holder writes a lease again that a restored store has lost
    # Guards against a part of the rates that stays out of use after a restore.
    Given an instance that claimed a lease after the store was copied
    When the store is restored and the instance reads the record
    Then it still holds the lease, and writes the record at once

  Scenario Outline: The configuration of a restored store is compared with the held one
    # Guards against a confirmed change that comes back older, and against a change that
    # is never taken since its version was given out before.
    Given version 11 of the configuration, which the store had <age> s ago in epoch 2
    When the store has version <version> with <content> routes in epoch <epoch>
    Then the instance decides to <choice> it

    Examples:
      | age | version | content   | epoch | choice  |
      | 1   | 11      | the same  | 2     | confirm |
      | 1   | 11      | the same  | 3     | confirm |
      | 1   | 14      | other     | 2     | take    |
      | 1   | 14      | other     | 3     | take    |
      | 1   | 8       | other     | 3     | keep    |
      | 14  | 8       | other     | 3     | keep    |
      | 16  | 8       | other     | 3     | take    |
      | 16  | 8       | other     | 2     | keep    |
      | 1   | 11      | other     | 3     | take    |
      | 1   | 11      | other     | 2     | keep    |

  Scenario Outline: What was given up after a restore does not come back from others
    # Guards against instances that go back and forth between two configurations.
    Given version 8 of the configuration, which the store had 0 s ago in epoch 3
    When another instance has version 11 of epoch <epoch>, which the store had <age> s ago
    Then the instance decides to <choice> it

    Examples:
      | epoch | age | choice |
      | 2     | 10  | take   |
      | 2     | 16  | keep   |
      | 3     | 1   | take   |

  Scenario: A change under a version that was given out before is in force
    # Guards against an added or withdrawn route that is ignored (incident CONFIG).
    Given an instance with stand-ins for the store and the members
    And the store has been copied
    When the configuration changes, the store is restored and another change has its version
    Then its next statements are refused with NOAUTH

  Scenario Outline: The entry of a member counts once it was written after the restore
    # Guards against work for a member that has left or that leaves: its entry in the
    # copy says that it is ready.
    Given a member that was <known> when the store was restored
    When it is listed as ready <seconds> s later, with <version> version
    Then the member is <result>

    Examples:
      | known   | seconds | version   | result  |
      | leaving | 0       | the same  | leaving |
      | leaving | 4       | the same  | leaving |
      | leaving | 1       | a new     | ready   |
      | leaving | 6       | the same  | ready   |
      | gone    | 0       | the same  | gone    |
      | gone    | 1       | a new     | ready   |
      | gone    | 6       | the same  | ready   |

  Scenario: A leaving member gets no second drain time after a restore
    # Guards against work for a member after the drain time that it announced.
    Given an instance with stand-ins for the store and the members
    And the store has been copied
    When the primary announces its shutdown
    Then another member is the primary before the old one has stopped
    When the store is restored and no member has written its entry again
    Then the former primary still counts as leaving
