@fleet
Feature: A primary fails while callers write through four instances
  Runs real processes: four entry instances, two databases of three members each, and
  one platform. A member that is partitioned or frozen comes back later.

  Scenario: The primary is partitioned, stays alive and goes on answering
    # Promises replaced-primary, at-most-once, not-run-is-true. Guards against an
    # acknowledgement by a replaced primary that still claims to be the primary.
    Given callers claim packets in swap1 through all instances
    When the primary of swap1 is partitioned from its replicas, then from the instances
    Then another member of swap1 becomes primary
    And the old primary of swap1 still answers as primary of its term
    When the old primary of swap1 is reachable again and the callers stop
    Then some writes ran at the old primary of swap1 only
    And the members of swap1 agree on one log that contains every acknowledged claim once
    And no claim refused as not run is in any log of swap1

  Scenario: The primary is frozen and resumes after the promotion
    # Promises replaced-primary, whole-answer. Guards against requests that wait in
    # the sockets of the frozen primary and are acknowledged when it resumes.
    Given callers claim packets in swap1 through all instances
    When the primary of swap1 is frozen
    Then another member of swap1 becomes primary
    When the old primary of swap1 resumes and the callers stop
    Then the members of swap1 agree on one log that contains every acknowledged claim once
    And no claim refused as not run is in any log of swap1

  Scenario Outline: A claim whose answer is lost is retried through another instance
    # Promise at-most-once. Guards against a claim that runs twice, or whose caller
    # cannot find out its outcome.
    Given claims whose answers are lost because <how>
    When they are retried with the same ids through another instance <moment>
    Then the members of swap1 agree on one log that contains every acknowledged claim once
    And no claim refused as not run is in any log of swap1

    Examples:
      | how                             | moment             |
      | the caller's connection is cut  | before a promotion |
      | the caller's connection is cut  | during a promotion |
      | the caller's connection is cut  | after a promotion  |
      | the instance is killed          | before a promotion |
      | the instance is killed          | during a promotion |
      | the instance is killed          | after a promotion  |

  Scenario: Connections stop answering with answers outstanding, or answer too late
    # Promise whole-answer. Guards against a late answer that is returned for the next
    # request on the connection, and against waiting for an unresponsive connection.
    When callers read from swap1 while answers arrive after their deadline
    And every connection to the primary of swap1 stops answering with answers outstanding
    Then reads and claims are served again by every instance
    And each answer contains the number that its request selected
    And no read refused as not run was run by any member of swap1
