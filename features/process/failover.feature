@fleet
Feature: A primary fails while callers write through four instances
  Real processes: four entry instances, two databases of three members, one
  platform. A member that is cut off or frozen comes back later.

  Scenario: The primary is cut off, stays alive and goes on answering
    # Promises replaced-primary, at-most-once, not-run-is-true. Guards against an
    # acknowledgement by a primary that still holds itself for the primary.
    Given callers claim packets in swap1 through all instances
    When the primary of swap1 loses its replicas, then also the instances
    Then another member of swap1 becomes primary
    And the old primary of swap1 still answers as primary of its term
    When the old primary of swap1 is connected again and the callers stop
    Then some writes ran at the old primary of swap1 only
    And the members of swap1 agree on one log that holds every acknowledged claim once
    And no claim refused as not run is in any log of swap1

  Scenario: The primary is frozen and wakes after the promotion
    # Promises replaced-primary, whole-answer. Guards against requests that wait in
    # the sockets of the frozen primary and are acknowledged when it wakes.
    Given callers claim packets in swap1 through all instances
    When the primary of swap1 is frozen
    Then another member of swap1 becomes primary
    When the old primary of swap1 wakes up and the callers stop
    Then the members of swap1 agree on one log that holds every acknowledged claim once
    And no claim refused as not run is in any log of swap1

  Scenario Outline: A claim whose answer is lost is repeated through another instance
    # Promise at-most-once. Guards against a claim that runs twice, or whose caller
    # cannot learn what became of it.
    Given claims whose answers are lost because <how>
    When they are repeated under the same ids through another instance <moment>
    Then the members of swap1 agree on one log that holds every acknowledged claim once
    And no claim refused as not run is in any log of swap1

    Examples:
      | how                             | moment             |
      | the caller's connection is cut  | before a promotion |
      | the caller's connection is cut  | during a promotion |
      | the caller's connection is cut  | after a promotion  |
      | the instance is killed          | before a promotion |
      | the instance is killed          | during a promotion |
      | the instance is killed          | after a promotion  |

  Scenario: Connections go silent with answers outstanding, or answer too late
    # Promise whole-answer. Guards against a late answer that is handed to the next
    # request on the connection, and against waiting for a silent connection.
    When callers read from swap1 while answers come after their deadline
    And every connection to the primary of swap1 goes silent with answers outstanding
    Then reads and claims are served again by every instance
    And each answer carries the number that its request asked for
    And no read refused as not run was run by any member of swap1
