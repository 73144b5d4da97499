Feature: Demotion through other instances
  An instance that can't reach a primary has others demote it, because a commit is
  acknowledged only through an instance that reaches the primary.

  Scenario Outline: The first demotion or the last refusal ends the wait
    # Guards against a failover that waits for instances which have replied, and against
    # one that relies on a demotion which was not made.
    Given a primary of term 1 and other instances that are "<instances>"
    When an instance asks them to demote it under the term <term>
    Then it learns "<result>" after <ms> ms

    Examples:
      | instances              | term | result      | ms  |
      | near                   | 2    | demoted     | 10  |
      | failed,near            | 2    | demoted     | 10  |
      | failed,failed,slow     | 2    | demoted     | 110 |
      | earlier,near           | 2    | demoted     | 10  |
      | failed                 | 2    | not demoted | 10  |
      | failed,cut off         | 2    | not demoted | 10  |
      | none                   | 2    | not demoted | 0   |
      | near                   | 1    | not demoted | 10  |
      | earlier                | 2    | not demoted | 150 |
      | failed,earlier         | 2    | not demoted | 150 |
      | too slow               | 2    | not demoted | 150 |

  Scenario: A repeated refusal counts once
    # Guards against an attempt that goes on without the primary's log while another
    # instance is demoting it.
    Given a primary of term 1 and other instances that are "repeating,slow"
    When an instance asks them to demote it under the term 2
    Then it learns "demoted" after 110 ms

  Scenario: The log of a member that is a replica already is not that of the primary
    # Guards against a promotion on the log of a former primary, which may lack the
    # commits of the primary after it.
    Given a primary of term 1 and other instances that are "near"
    And the member is a replica already
    When an instance asks them to demote it under the term 2
    Then it learns "not demoted" after 10 ms
    And no command to demote a member was sent

  Scenario: A late reply does not answer the next request
    # Guards against a promotion on a log that has grown since an earlier demotion.
    Given a primary of term 1 and other instances that are "too slow"
    When an instance asks them to demote it under the term 2
    And 115 ms later the others know it as failed, and the instance asks under the term 3
    Then it learns "not demoted" after 10 ms

  Scenario: Requests without a limit don't start tasks without a limit
    # Guards against the memory that a peer could occupy with datagrams.
    Given a primary of term 1 and other instances that are "too slow"
    When 100 requests to demote it arrive at one of them
    Then 68 of them are refused at once

  Scenario Outline: The instances that are asked are few and in several failure domains
    # Guards against 300 datagrams for each attempt, and against asking only instances
    # that a partition separates from the primary.
    Given a fleet of <instances> instances in <domains> failure domains
    Then an instance asks <asked> others, the pool hosts first, in <asked_domains> domains

    Examples:
      | instances | domains | asked | asked_domains |
      | 1         | 1       | 0     | 0             |
      | 5         | 3       | 4     | 3             |
      | 69        | 3       | 8     | 3             |
      | 300       | 5       | 8     | 5             |

  Scenario Outline: A member that has failed since its last answer is not tried
    # Guards against a failover that waits until commands to a crashed primary time out.
    Given a primary that <state> at an instance
    Then the instance sends it commands for others: <tried>

    Examples:
      | state                | tried |
      | answers              | yes   |
      | has failed           | no    |
      | is not listed        | no    |
