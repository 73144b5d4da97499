Feature: Commits that only a replica without an entry has confirmed are not lost
  The instances, members, store, promotion call and links are those of the feature of
  late promotions. A replica is in the list of members once its entry is written.

  Background:
    Given three instance processes, three members and callers that write
    And every instance has a permit to acknowledge commits

  Scenario: The first list after an outage of the store lacks the only replica with the commits
    # Guards against a promotion that compares only the members of that list.
    When the store is away for 1.6 s
    And a replica joins and the other replicas receive nothing
    And the store is back
    And the primary crashes and its replacement is requested
    Then callers can write again and no acknowledged write is lost
    And the replica that joined leads

  Scenario Outline: The only replica with the commits gets its entry after <seconds> s
    # Guards against a promotion that takes no member for one that nobody has listed.
    When a replica joins that gets its entry after <seconds> s and the others receive nothing
    And the primary crashes and its replacement is requested
    Then callers can write again and no acknowledged write is lost
    And the replica that joined leads

    Examples: from one heartbeat to several
      | seconds |
      | 1       |
      | 3       |
      | 6       |

  Scenario: The entry of the only replica with the commits lapses
    # Guards against a promotion that takes a replica without an entry for one that is gone.
    Given a fourth member is recorded
    When its entry lapses for 12 s
    And the other replicas receive nothing
    And the primary crashes and its replacement is requested
    Then callers can write again and no acknowledged write is lost
    And the replica whose entry lapsed leads

  Scenario: A primary that one instance can't reach has commits of a replica without an entry
    # Guards against a comparison in which the log of the demoted primary is one that may be missing.
    When a replica joins that gets its entry after 6 s and the others receive nothing
    And i1 is cut off from the primary
    And a replacement is requested
    Then callers can write again and no acknowledged write is lost

  Scenario: A replica whose entry has lapsed confirms commits behind a partition
    # Guards against a promotion that takes a member without an entry for gone.
    Given a fourth member is recorded
    When its entry lapses for 60 s
    And i1 is cut off from the primary and from the other instances
    And a replacement is requested
    Then callers can write again and no acknowledged write is lost

  Scenario: Replicas are paused while one without an entry goes on confirming
    # Guards against acknowledgements between the pauses and the news of the suspension.
    When a replica joins that gets its entry after 6 s
    And i1 is cut off from the primary and from the other instances
    And the promotion takes effect
    Then callers can write again and no acknowledged write is lost
