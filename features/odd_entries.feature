Feature: Odd entries of other writers
  What another writer leaves in the store, or a peer sends, is skipped if it can't be
  used. It ends no process, and the process goes on following the store.

  Scenario Outline: A process skips an odd row of the store
    # Guards against a process that ends, or stops following, for one row that it reads.
    Given stand-ins for the store and the members
    And another writer has left <row>
    When an instance is started as a process
    Then it serves, follows the members and takes the next configuration

    Examples:
      | row                                           |
      | a deeply nested entry of a member             |
      | a member with 10^400 slots                    |
      | a member at port 70000                        |
      | a member at a host name                       |
      | a member of a group with a line break         |
      | a row with a version too large for a number   |
      | a deeply nested instance                      |
      | an instance at port 70000                     |
      | an instance at port -1                        |
      | a deeply nested record of the rate leases     |
      | a rate lease of a holder at port 70000        |
      | a deeply nested promotion lock                |
      | a deeply nested marker of the epoch           |

  Scenario: A process keeps the last good configuration
    # Guards against an instance that ends or refuses everything for one odd version.
    Given stand-ins for the store and the members
    When an instance is started as a process
    And another writer leaves a deeply nested configuration
    Then it serves, follows the members and takes the next configuration

  Scenario Outline: A process ignores an odd datagram
    # Guards against a peer that ends the task that receives all datagrams.
    Given stand-ins for the store and the members
    When an instance is started as a process
    And a peer sends <datagram>
    Then it serves, follows the members and takes the next configuration

    Examples:
      | datagram                                   |
      | 30000 nested arrays                        |
      | a list with a member at port 70000         |
      | a list from the end of time                |
      | rate leases of a holder at port -1         |
      | rate leases that never expire              |
      | a confirmation from the end of time        |

  Scenario Outline: Only usable entries name a member
    # Guards against a connection to an address that a parser reads in its own way.
    When the list has a valid entry and one whose <field> is <value>
    Then only the valid entry gives a member

    Examples:
      | field   | value              |
      | Address | "10.0.0.1: 9"      |
      | Address | "10.0.0.1:1_0"     |
      | Address | "10.0.0.1:٣"       |
      | Address | "10.0.0.1:0"       |
      | Address | "10.0.0.1:65536"   |
      | Address | "10.0.0.1:-1"      |
      | Address | "10.0.0:80"        |
      | Address | "host:80"          |
      | Slots   | 1000000000000000000000000000000 |
      | Slots   | 0                  |
      | Service | "g\r\nQUERY x"     |
      | Service | ""                 |
      | Zone    | "z 1"              |

  Scenario Outline: A wrong number of synchronous replicas counts as one
    # Guards against acknowledged commits that are lost since a value was mistyped, and
    # against a version that is not taken for it.
    When a configuration is decoded whose group has <value> synchronous replicas
    Then the group has <count> synchronous replicas

    Examples:
      | value     | count |
      | 0         | 0     |
      | 2         | 2     |
      | -1        | 1     |
      | 1.5       | 1     |
      | "2"       | 1     |
      | true      | 1     |
      | null      | 1     |
      | [0]       | 1     |
      | 1000000000000000000000000000000 | 1 |

  Scenario Outline: An invalid configuration is not taken
    # Guards against a version that contradicts itself or that no route can follow.
    Given a valid configuration in which <change>
    Then the configuration is not taken

    Examples:
      | change                                   |
      | the version is 0                         |
      | the version is text                      |
      | two routes have one database             |
      | a route has no group                     |
      | a timeout is negative                    |
      | a timeout is infinite                    |
      | a rate is negative                       |
      | two workspaces have one key              |
      | two workspaces have one name             |
      | a group allows no connection             |
