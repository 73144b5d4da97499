Feature: Decoding of the users' platform's protocols, rows and settings
  Invalid input is reported, and valid input beside it is still used.

  Scenario Outline: Decoding and encoding a statement keeps its text
    # Guards against a statement that reaches a member with changed text.
    When the text "<text>" is decoded and encoded again
    Then it is unchanged

    Examples:
      | text                      |
      | READ 1a4                  |
      | READ a  b                 |
      | WRITE 1a4 data with words |
      | EXEC s1 1a4 data          |
      | PREPARE s1 READ shape one |
      | SET name a value          |
      | BEGIN READ                |

  Scenario Outline: A member's reply is accepted only if it is complete and valid
    # Guards against a success without a signature, a truncated reply, and rows after
    # the result.
    When a member replies "<lines>"
    Then the reply is <result>

    Examples:
      | lines                             | result      |
      | ROW a/DONE p/READY I 3.7          | a success   |
      | DONE p/READY T -                  | a success   |
      | ERR BUSY full/READY I 3.7         | busy        |
      | ROW a/DONE p                      | incomplete  |
      | ROW a/READY I 3.7                 | not read    |
      | DONE p/ROW b/READY I 3.7          | not read    |
      | DONE/READY I 3.7                  | not read    |
      | DONE p/READY X 3.7                | not read    |
      | DONE p/READY I 3.x                | not read    |

  Scenario Outline: An invalid entry is ignored and the other entries are kept
    # Guards against entries that another program has written to the table.
    When the list has a valid entry and one whose <field> is <value>
    Then only the valid entry gives a member

    Examples:
      | field   | value       |
      | Service | null        |
      | Address | "nowhere"   |
      | Address | "h:99999999" |
      | State   | "sleeping"  |
      | DbRole  | 7           |
      | Slots   | "many"      |

  Scenario: Invalid rows of the store are skipped
    # Guards against an answer of the store that can't be decoded.
    When the store answers with rows of wrong types and one valid row
    Then one row is decoded

  Scenario: An instance does not import libraries that it does not need
    # Guards against a longer outage after a power failure: importing the result type's
    # library and the second event loop that it imports took a fifth of the startup time.
    When a new process imports the main module of an instance
    Then neither expression nor asyncio is loaded

  Scenario Outline: A settings file is checked
    # Guards against starting an instance with settings that can't work, and against a
    # reload (SIGHUP) that ends the process, because a digit is not one to int().
    When the settings have the line "<line>"
    Then the check says "<answer>"

    Examples:
      | line                          | answer                                      |
      | Unknown.Field=1               | accepted                                    |
      | NodeName=                     | NodeName = '' is not accepted               |
      | ListenAddrs.Front=10.1.0.26   | ListenAddrs.Front = '10.1.0.26' is not      |
      | Bounds.GraceS=soon            | Bounds.GraceS = 'soon' is not accepted      |
      | Bounds.DrainMs=-1             | Bounds.DrainMs = '-1' is not accepted       |
      | Admission.ByPriority=yes      | Admission.ByPriority = 'yes' is not accepted |
      | Failover.MissingLogTimeoutS=0 | Failover.MissingLogTimeoutS = '0' is not    |
      | Failover.MissingLogTimeoutS=9 | accepted                                    |
      | InternalPorts=http            | InternalPorts = 'http' is not accepted      |
      | InternalPorts=75²             | InternalPorts = '75²' is not accepted       |
      | ListenAddrs.Front=10.1.0.2:8² | ListenAddrs.Front = '10.1.0.2:8²' is not    |

  Scenario Outline: Datagrams of another format are ignored
    # Guards against failures between instances of two versions, and against datagrams
    # that create tokens.
    When a datagram with <fields> is decoded
    Then it is <result>

    Examples:
      | fields                   | result         |
      | [2, 1, 5, "w"]           | a request      |
      | [2, 2, 5, true, 0]       | a reply        |
      | [2, 5, 7, 1.5]           | a confirmation |
      | [2, 4, "i1", "z1", 1, []] | a list        |
      | [2, 8, 5, "g", "m0", 4]  | a demotion     |
      | [2, 9, 5, null]          | a result       |
      | [2, 9, 5, ["m0", false, 4, [3, 7], 0]] | a result |
      | [1, 1, 5, "w", 1]        | ignored        |
      | [3, 1, 5, "w"]           | ignored        |
      | [2, 99, 5, "w"]          | ignored        |
      | [2, 8, 5, "g", "m 0", 4] | ignored        |
      | [2, 8, 5, "g", "m0", 0]  | ignored        |
      | [2, 9, 5, "w"]           | ignored        |
      | [2, 2, 5, 1, 0]          | ignored        |
      | [2, 2, 5, true]          | ignored        |
      | [2, 3, 5, {"0": 1}]      | ignored        |
      | [2, 4, "i1", "z1", 1, [[1]]] | ignored    |
      | ["x"]                    | ignored        |
