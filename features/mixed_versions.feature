Feature: Instances of two versions during an upgrade
  Instances are upgraded one by one, so that both versions serve callers for a while.

  Scenario Outline: A lease without new features is sent as in the earlier version
    # Guards against an upgraded instance whose messages end its streams to the others,
    # as an earlier version refuses a message with more fields than it knows.
    When a "<message>" that uses no new feature is sent to another instance
    Then it has <count> fields
    And a "<message>" that uses a new feature is received unchanged

    Examples:
      | message        | count |
      | LeaseRequested | 10    |
      | LeaseGranted   | 7     |

  Scenario Outline: A datagram without new features is sent as in the earlier version
    # Guards against instances of an earlier version that ignore the lists and
    # confirmations of an upgraded one, and all ask the store instead.
    When a "<message>" that uses no new feature is broadcast
    Then its fields are those of the earlier version
    And a "<message>" that uses a new feature is broadcast unchanged

    Examples:
      | message                |
      | ConfigurationConfirmed |
      | MembersRelayed         |
