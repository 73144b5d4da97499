Feature: Member connections that a fleet shares
  In a large fleet a few instances keep the connections of a workspace to a group of
  members. The others use them over one stream, and their own connections without it.

  Scenario: All instances choose the same hosts, in all failure domains
    # Guards against connections that are kept where no other instance looks for them.
    Given the lists of 4, 26, 78 and 300 instances in 5 failure domains
    Then the fleet of 4 instances has no pool hosts
    And larger fleets have 4 hosts for each group, in 4 failure domains
    And two instances whose lists are ordered differently choose the same hosts

  Scenario: A workspace does not open a connection at every instance
    # Guards against a connection for nearly every statement: opening it occupies the
    # member as long as the statement itself.
    Given 31 instances and members that accept 56 connections
    When each instance has run a write of the same workspace
    And each instance runs 2 more writes of the same workspace
    Then the members have accepted at most 4 connections for them

  Scenario: A transaction at another instance's connection keeps its isolation
    # Guards against statements of different transactions on one connection (PINNED).
    Given 12 instances and members that accept 56 connections
    When each instance has run a write of the same workspace
    And two instances run transactions with session values at the same time
    Then each transaction ran on one connection with its own values

  Scenario: A pool host is killed
    # Guards against callers that are refused until the list no longer names the host.
    Given 12 instances and members that accept 56 connections
    When each instance has run a write of the same workspace
    And the pool host of the workspace is killed
    Then every other instance still runs a write of the workspace

  Scenario: A pool host is stopped while another instance uses its connections
    # Guards against transactions that a planned stop of a third instance aborts.
    Given 12 instances and members that accept 56 connections
    When each instance has run a write of the same workspace
    And a caller at another instance has written in a transaction
    And the pool host of the workspace is stopped
    Then every other instance still runs a write of the workspace
    And the open transaction commits

  Scenario Outline: A lost key ends the open transaction at a pool host
    # Guards against statements on a connection of the workspace that no longer holds
    # the caller's key (UNASKED), and with a key that was withdrawn (CONFIG).
    Given 12 instances and members that accept 56 connections
    When each instance has run a write of the same workspace
    And a caller has written in a transaction at a connection of a pool host
    And <change>
    And it sends "COMMIT" after the change
    Then the statement is refused with <code> and has not run
    And the write of its transaction is not kept

    Examples:
      | change                              | code    |
      | its key passes to another workspace | ABORTED |
      | its key and its route are removed   | NOAUTH  |

  Scenario Outline: An open transaction at a pool host outlives <change>
    # Guards against a change that ends a transaction although its key is valid.
    Given 12 instances and members that accept 56 connections
    When each instance has run a write of the same workspace
    And a caller has written in a transaction at a connection of a pool host
    And <change> is in force
    And it sends "WRITE a 2" after the change
    And it sends "COMMIT" after the change
    Then its transaction is kept

    Examples:
      | change                                 |
      | the removal of its route               |
      | the removal of its route and its group |

  Scenario: A pool host goes silent after it received a write
    # Guards against a write that is run again after its answer was lost (TWICE), and
    # against a false "not run".
    Given a stream to a pool host that grants leases and answers nothing else
    When a write is forwarded to it
    Then the write has an unknown outcome, and nothing is said about the member
    And the request for a lease that it left unanswered is served by this instance
    And nothing more is sent on the lost lease

  Scenario: An instance that was suspended reads what its pool host has answered
    # Guards against taking a host for silent because this process did not run.
    Given a stream to a pool host that answers a write after 100 ms
    When this process does not run for 900 ms after it has forwarded a write
    Then the write has the host's answer

  Scenario: A large statement over a narrow link reaches the pool host
    # Guards against a link, with all its leases, that is given up because one message
    # takes longer than a silent host is waited for.
    Given a stream to a pool host that reads 640 kB/s
    When a write of 1000 kB is forwarded to it
    Then the write has the host's answer

  Scenario: A pool host that has answered everything is not probed
    # Guards against messages between instances that nobody needs.
    Given a stream to a pool host that answers a write after 100 ms
    When a write is forwarded to it and 500 ms pass after its answer
    Then the pool host has received no probe

  Scenario: An instance is lost while it uses a connection of a pool host
    # Guards against a connection with an open transaction that is used again.
    Given a pool host with one lease in use by another instance
    When the stream of the other instance breaks
    Then the pool host closes the connection of the lease

  Scenario: A pool host is stopped while a request for a lease waits
    # Guards against a connection that is granted late in a stop, and closed in the
    # middle of the operation of another instance.
    Given a pool host with one lease in use by another instance
    When it begins to stop while another request for a lease waits
    Then the waiting request is refused, and the first lease is still awaited

  Scenario: A malformed frame ends only its own stream
    # Guards against one malformed message that ends the process.
    Given a pool host with one lease in use by another instance
    When a third instance sends a malformed frame
    Then its stream is closed
    And the lease still runs exchanges

  Scenario: Messages between instances survive their encoding
    # Guards against a statement that arrives at the pool host as another one.
    Then every statement that is forwarded is decoded unchanged
    And every other message between an instance and a pool host too
