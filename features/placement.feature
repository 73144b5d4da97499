Feature: Placement by failure domain
  Where messages between failure domains take long, statements stay in the failure
  domain of their caller unless leaving it pays.

  Scenario: Each failure domain has pool hosts, on its larger machines
    # Guards against the connections of a group at machines with a tenth of the link of
    # others, and against reads that cross to a host.
    Given 69 instances in 3 failure domains, of which 2 in each have 4 times the capacity
    Then every group has 2 hosts in each failure domain, all on the large machines
    And without known capacities it still has 2 hosts in each
    And two lists of the same instances in another order give the same hosts

  Scenario: The pool hosts together keep a member's connections within its limit
    # Guards against hosts that reset each other's connections at a full member.
    Given members that accept 16,56,75,270 connections, and 2 hosts in 3 domains
    Then the hosts together keep at most 0.6 of them idle, most in the member's domain

  Scenario Outline: Only expensive crossings change the placement
    # Guards against a changed placement where messages between domains are fast, or
    # where the processes are slow and not the network.
    Given a delay of <within> ms within the failure domain and <across> ms to another one
    Then crossings are expensive: <first>, and afterwards at <later> ms: <still>

    Examples:
      | within | across | first | later | still |
      | 0.2    | 0.5    | False | 0.5   | False |
      | 0.2    | 1.4    | False | 2.9   | False |
      | 0.2    | 4.4    | True  | 2.5   | True  |
      | 0.2    | 4.4    | True  | 1.4   | False |
      | 9.0    | 10.0   | False | 9.5   | False |

  Scenario: Work for the primary goes to its failure domain, reads stay
    # Guards against two crossings for each message of a statement.
    Given a caller in domain a, a primary in domain b, and domain c farther away
    Then work for the primary uses the hosts of "b,a,c"
    And a read uses the hosts of "a,b,c"
    And a read that was sent elsewhere uses the hosts of "b,c"

  Scenario: A read that finds no room elsewhere comes back once
    # Guards against two domains that pass a read to and fro until it expires.
    Then the steps of such a read are "ask,leave,stay" and then it waits

  Scenario: A domain with enough members sends nothing away
    # Guards against crossings for a load that the own members carry.
    Given 3 failure domains whose members each run 214 reads/s
    When domain a gets 150 reads/s and the others 100 for 10 s
    Then no read of domain a has left it

  Scenario: The members of a domain are too few
    # Guards against callers that wait in one domain while others have room.
    Given 3 failure domains whose members each run 214 reads/s
    When domain a gets 300 reads/s and the others 60 for 10 s
    Then between 20% and 60% of the reads of domain a have left it
    And its reads take at most 120 ms at the 90th percentile
    And no domain had more than 4 reads of others at a time

  Scenario: All domains are short of room
    # Guards against domains that send each other what neither can serve.
    Given 3 failure domains whose members each run 214 reads/s
    When domain a gets 260 reads/s and the others 260 for 5 s
    Then at most 2% of the reads of domain a have left it

  Scenario: Demand moves from one domain to another
    # Guards against a decision that is kept after its cause has gone.
    Given 3 failure domains whose members each run 214 reads/s
    When domain a gets 280 reads/s and the others 60 for 5 s
    And domain b gets 280 reads/s and the others 60 for 5 s
    Then domain b has sent reads away, and domain a no more in the last 4 s
    And its reads take at most 120 ms at the 90th percentile

  Scenario: A domain is lost while it is sent reads
    # Guards against reads that still go where nobody serves them.
    Given 3 failure domains whose members each run 214 reads/s
    When domain a gets 280 reads/s and the others 60 for 5 s
    And the member of domain b is lost, and domain a gets 280 reads/s for 5 s
    Then domain c has served the reads of domain b
    And no domain had more than 5 reads of others beyond those of domain b

  Scenario: Tokens are requested from the near holders first
    # Guards against a crossing for every operation while a near holder has tokens, and
    # against a refusal while a far one has some.
    Given an instance that measured holders at 0.3, 4.6 and 4.7 ms
    Then it asks the near one first, and the others after a refusal

  Scenario: Holders at similar distances are asked in turn
    # Guards against one part of the rates that is used up while others are left.
    Given an instance that measured holders at 0.3, 1.5 and 1.6 ms
    Then it asks another one first each time

  Scenario: A stored capacity that can't be used is ignored
    # Guards against one writer's odd entry that changes every instance's hosts.
    Given stored capacities, one of them "[0,1,1]" and one of them "{}"
    Then a restarted instance uses the others, and writes its own after it has read

  Scenario: The capacity of an instance that has gone is removed
    # Guards against records that stay for ever, and against the removal of those of an
    # instance that has not registered yet.
    Then only the instance with the smallest id removes it, at the second read without it

  Scenario: A pool host far from the primary learns its position
    # Guards against reads that leave their domain because its host runs no work at the
    # primary, and against a position that counts as newer than it is.
    Given a position that a pool host near the primary saw 300 ms before it replied
    When the request and its reply took 9 ms
    Then the position counts as 309 ms old when the reply arrives
    And it is asked for again once it is 250 ms old, and at most every 100 ms
    And a reply to a request that was not sent is ignored

  Scenario: A small fleet keeps its own connections, however far its domains are apart
    # Guards against reads that a fleet without pool hosts ties to one member.
    Given a fleet of 6 instances whose failure domains are far apart
    Then it has no pool hosts, and reads may use the members of all failure domains

  Scenario: The broker learns where a primary is although its inbox was full
    # Guards against an overloaded instance that stops, or that sends the work for a
    # primary to its former failure domain from then on.
    Given a broker whose inbox is full when the primary moves from domain a to b
    When its inbox has room and the next list of members arrives
    Then the broker learns that the primary is in domain b
