Feature: Readers of the configuration in a failure domain
  A few instances read the store, the others hear of changes from them, and a copy of
  the changes is the configuration itself.

  Scenario Outline: An instance reads the store while too few preferred ones do
    # Guards against a failure domain that nobody reads for, and against one where all do.
    Given <readers> readers with links of <links> Mbit/s beside an instance with <own>
    When the instance <was> before and the store <answers> it
    Then the instance <reads> the store

    Examples:
      | readers | links        | own | was           | answers    | reads         |
      | 0       | 10           | 10  | reads         | answers    | reads         |
      | 2       | 10, 10       | 10  | reads         | answers    | reads         |
      | 3       | 10, 10, 10   | 10  | reads         | answers    | does not read |
      | 3       | 10, 10, 10   | 200 | does not read | answers    | reads         |
      | 3       | 200, 200, 10 | 10  | reads         | answers    | does not read |
      | 3       | 10, 10, 10   | 200 | reads         | turns away | does not read |
      | 2       | 10, 10       | 200 | reads         | turns away | reads         |

  Scenario Outline: Instances that miss a reader step in one after the other
    # Guards against a large failure domain that reads all at once when a reader is lost.
    Given 2 readers with links of 10, 10 Mbit/s beside an instance with 10
    When the instance with rank <rank> has missed a reader for <ms> ms
    Then the instance <reads> the store

    Examples:
      | rank | ms  | reads         |
      | 0    | 0   | reads         |
      | 3    | 100 | does not read |
      | 3    | 160 | reads         |
      | 400  | 300 | does not read |
      | 400  | 410 | reads         |

  Scenario Outline: A digest reaches every instance of a failure domain once
    # Guards against instances that hear of no change, and against one that sends to all.
    Given <count> instances in a failure domain
    When a digest of any of them is passed on
    Then each of the others has received it once, after at most 3 hops
    And no instance has sent it to more than 8 others

    Examples:
      | count |
      | 1     |
      | 2     |
      | 9     |
      | 23    |
      | 443   |

  Scenario: A copy of the changes gives the same configuration
    # Guards against a copy that lacks a withdrawn key or a removed route.
    Then any two configurations are equal after their changes were encoded and applied

  Scenario Outline: A malformed copy is refused
    # Guards against a process that ends on bytes that another one has sent.
    When a copy of <bytes> is decoded
    Then it is refused as unreadable

    Examples:
      | bytes                  |
      | no bytes               |
      | random bytes           |
      | a truncated copy       |
      | another type           |
      | endless zeros          |

  Scenario: A small change of a large configuration is a small copy
    # Guards against a control traffic that grows with the size of the configuration.
    Given a configuration with 5200 routes that gets one more
    Then the encoded changes have at most 500 bytes
