Feature: Evacuation of failure domains and allowed regions
  An operator excludes a failure domain, and a configuration names regions. What can't be
  served elsewhere is refused at once, as not run.

  Scenario Outline: Work moves away from the members of an evacuated failure domain
    # Guards against a gap while the successor of the primary is being promoted, and
    # against work for the evacuated primary after the limit.
    Given a group whose primary m0 is in z1 and whose replicas are in "<replicas>"
    And "<domains>" were evacuated <age> s ago with a limit of 5 s
    Then new work of the primary goes to "<member>"
    And the failover trigger is "<trigger>"
    And a write is refused at once because of "<refusal>"

    Examples:
      | replicas | domains  | age | member | trigger   | refusal   |
      | z2,z3    | z2       | 9.0 | m0     | none      | none      |
      | z2,z3    | z1       | 1.0 | m0     | evacuated | none      |
      | z2,z3    | z1       | 2.5 | m1     | evacuated | none      |
      | z2,z3    | z1,z2    | 2.5 | m2     | evacuated | none      |
      | z1,z1    | z1       | 1.0 | m0     | none      | none      |
      | z1,z1    | z1       | 2.5 | none   | none      | evacuated |
      | z2,z3    | z1,z2,z3 | 2.5 | none   | none      | evacuated |

  Scenario: An evacuated replica is not promoted in a switchover
    # Guards against a primary that moves from one evacuated failure domain to another.
    Given a group whose primary m0 is in z1 and whose replicas are in "z2,z3"
    And "z1,z2" were evacuated 1.0 s ago with a limit of 5 s
    Then m2 keeps receiving in a switchover, although m1 has the longest log

  Scenario Outline: An evacuated replica is not promoted in place of a failed primary
    # Guards against a primary that gets no work as soon as it has been promoted.
    Given members with the logs "m0=1.9,m1=1.9,m2=1.9" of which "<silent>" do not answer
    And "m1" is in an evacuated failure domain
    When an instance acts on a primary that <trouble>
    Then "m2" is promoted and "<demoted>" is demoted

    Examples:
      | silent | trouble                 | demoted |
      | m0     | is unreachable          | none    |
      | none   | gets no write confirmed | m0      |

  Scenario Outline: A restored store does not change what was known of evacuations
    # Guards against a copy of the store that lacks an accepted request, or has one that
    # was taken back.
    Given an instance that read "<held>" before the store was restored
    When it reads "<copy>" in the copy, and "<later>" <age> s later
    Then "<evacuated>" are evacuated

    Examples:
      | held | copy | later | age | evacuated |
      | z1:9 |      |       | 1   | z1        |
      |      | z1:4 | z1:4  | 1   | none      |
      |      | z1:4 | z1:7  | 1   | z1        |
      | z1:9 | z1:4 |       | 1   | none      |
      | z1:9 |      |       | 20  | none      |
      |      | z1:4 | z1:4  | 20  | z1        |

  Scenario Outline: Both the route and the workspace restrict the regions
    # Guards against an operation that runs where only one of them allows it.
    Given a route for the regions "<route>" and a workspace for "<workspace>"
    Then the operation may run in "<allowed>"

    Examples:
      | route       | workspace | allowed |
      |             |           | any     |
      | north       |           | north   |
      |             | south     | south   |
      | north,south | south     | south   |
      | north       | south     | none    |

  Scenario: The primary is moved and no open transaction goes on at its old place
    # Guards against statements of open transactions that reach an evacuated member.
    Given an instance whose members m0, m1 and m2 are in z1, z2 and z3
    And a transaction that has written at the primary m0
    When z1 is evacuated and the limit has passed
    Then the transaction is refused as "ABORTED" and nothing of it is kept
    And a write runs at another member than m0
    And a write is refused at once while z1, z2 and z3 are evacuated
    And a write runs again after the evacuations were taken back

  Scenario: Two evacuations at once move the primary only once
    # Guards against a promotion of a member that is evacuated too.
    Given an instance whose members m0, m1 and m2 are in z1, z2 and z3
    When z2 and z1 are evacuated and the limit has passed
    Then a write runs at m2 after 1 promotion

  Scenario: A read transaction at an evacuated replica does not go on
    # Guards against statements of open transactions that a healthy replica would run.
    Given an instance whose members m0, m1 and m2 are in z1, z2 and z3
    And a read transaction whose first read ran at a replica
    When the failure domain of that replica is evacuated and the limit has passed
    Then the next read is refused as "ABORTED" and runs nowhere

  Scenario: An evacuation survives a restore of the store and ignores unknown names
    # Guards against an evacuation that ends because the store was restored.
    Given an instance whose members m0, m1 and m2 are in z1, z2 and z3
    When "nowhere" is evacuated and the limit has passed
    Then a write runs at m0
    When the store is copied, z1 is evacuated and the copy is restored
    Then a write runs at another member than m0
    And 5 bounded reads run at another member than m0

  Scenario: A read runs in an allowed region and a write outside of it is refused
    # Guards against statements that leave the regions of their route.
    Given an instance whose members m0, m1 and m2 are in z1, z2 and z3
    When the routes allow the region "south"
    Then 5 bounded reads run at m2
    And a write is refused at once with "allowed region"
    When the routes allow the region "unknown"
    Then a write is refused at once with "allowed region"

  Scenario: A transaction at a member that was missing in a list is cut off too
    # Guards against statements that reach an evacuated member over a connection that
    # belongs to none of the current pools.
    Given a connection to a member in z1 that is leased for a transaction
    When the member is missing in one list and present in the next one
    And z1 is cut off
    Then nothing more can be sent on the connection

  Scenario: An instance starts while the configuration fills a page of the store's answer
    # Guards against an evacuation that a restarted instance never learns of, as the row
    # that requests it is on the second page of the read.
    Given an instance whose members m0, m1 and m2 are in z1, z2 and z3
    And the store ends a page after the configuration
    When z2 is evacuated and the instance starts again
    Then it has read that z2 is evacuated
