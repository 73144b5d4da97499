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

  Scenario: A datagram of a kind that the earlier version lacks is ignored there
    # Guards against instances of the earlier version that fail for what an upgraded one
    # tells them of promotions.
    When "PromotionStatesRelayed,PromotionAnnounced,PromotionAnnouncementReceived" are sent to the earlier version
    Then it ignores them

  Scenario: A copy of the configuration can be read by the earlier version
    # Guards against instances of the earlier version that refuse the copies of an
    # upgraded one, or that do not confirm its configuration.
    Given a configuration with a group that has 2 synchronous replicas
    Then the earlier version reads a copy of it, with the same revision
    And this version reads 2 synchronous replicas from the copy

  Scenario: A copy of the earlier version does not say how many replicas confirm
    # Guards against commits that are acknowledged as in a group without synchronous
    # replicas, since an instance of the earlier version has passed its configuration on.
    Given a configuration with a group that has 2 synchronous replicas
    Then this version reads 1 synchronous replicas from a copy of the earlier version
