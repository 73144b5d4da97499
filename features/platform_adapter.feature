Feature: Translation between the platform and the product
  Bad input names what is wrong and loses nothing else.

  Scenario Outline: Texts of statements survive the way through the product
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

  Scenario Outline: A reply of a member is taken only as a whole
    # Guards against a success without proof, a cut answer, and rows after the result.
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

  Scenario Outline: An unreadable entry names no member and loses no other
    # Guards against entries of another writer.
    When the list holds a good entry and one whose <field> is <value>
    Then only the good entry names a member

    Examples:
      | field   | value       |
      | Service | null        |
      | Address | "nowhere"   |
      | Address | "h:99999999" |
      | State   | "sleeping"  |
      | DbRole  | 7           |
      | Slots   | "many"      |

  Scenario: Rows that are no rows are passed over
    # Guards against bytes that can't be read.
    When the store answers with rows of wrong types and one good row
    Then one row is read

  Scenario: The start loads no library that it can do without
    # Guards against a longer outage after a loss of power: the results' library and
    # the second event loop that it loads took a fifth of the start.
    When a new process imports the program of an instance
    Then neither expression nor asyncio is loaded

  Scenario Outline: A settings file is checked
    # Guards against a start with settings that can't work.
    When the settings have "<line>"
    Then the check says "<answer>"

    Examples:
      | line                          | answer                                      |
      | Unknown.Field=1               | accepted                                    |
      | NodeName=                     | NodeName = '' is not accepted               |
      | ListenAddrs.Front=10.1.0.26   | ListenAddrs.Front = '10.1.0.26' is not      |
      | Bounds.GraceS=soon            | Bounds.GraceS = 'soon' is not accepted      |
      | Bounds.DrainMs=-1             | Bounds.DrainMs = '-1' is not accepted       |
      | InternalPorts=http            | InternalPorts = 'http' is not accepted      |

  Scenario Outline: Datagrams of another format are ignored
    # Guards against instances of two versions, and against tokens out of nothing.
    When a datagram holds <fields>
    Then it is <result>

    Examples:
      | fields               | result    |
      | [1, 1, 5, "w", 1]    | a request |
      | [1, 2, 5, 1]         | a grant   |
      | [2, 1, 5, "w", 1]    | ignored   |
      | [1, 2, 5, -1]        | ignored   |
      | [1, 2, 5, 100000]    | ignored   |
      | ["x"]                | ignored   |
