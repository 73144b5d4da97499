Feature: Limits of what one client may hold
  Decisions and deadlines behind the crowds of hostile_clients.feature, without processes.

  Scenario Outline: Connections that are closed when memory is short
    # Guards against closing small callers, or statements that run, for the memory of
    # clients that start large messages and let them stand.
    Given connections that hold <held>
    When <excess> bytes too many are held
    Then <closed> are closed

    Examples:
      | held                               | excess | closed |
      | a=900 for 1 s, b=10 for 60 s       | 1      | a      |
      | a=900 for 1 s, b=900 for 9 s       | 1      | b      |
      | a=900 for 1 s, b=900 for 9 s       | 901    | b, a   |
      | a=900 for 9 s running, b=5 for 1 s | 1      | b      |
      | a=900 for 9 s running, b=0 for 9 s | 1      | none   |

  Scenario: A long line in small pieces is searched once
    # Guards against a time that grows with the square of the size of a message.
    When a line of 64 KiB arrives in pieces of 16 bytes
    Then at most twice its bytes are searched for its end

  Scenario Outline: A session with too many values or prepared names
    # Guards against a session that fills the memory with legal statements.
    When a session sends "<text>" <count> times with different names
    Then the last answer is <answer>

    Examples:
      | text                | count | answer |
      | SET n x             | 1000  | done   |
      | SET n x             | 1001  | busy   |
      | PREPARE n READ r    | 1001  | busy   |
      | SET n large         | 3     | done   |
      | SET n large         | 4     | busy   |

  Scenario: A connection with large values is not kept for its next use
    # Guards against values of ended sessions that fill the memory in the pools.
    Then a connection with a value of 64 KiB is closed, one of 1 KiB is kept

  Scenario Outline: A session whose client <does>
    # Guards against clients that hold a session, or a member connection of a
    # transaction, by sending a byte from time to time.
    Given a session whose transactions may be idle for 3 s
    When its client <does>
    Then after that the session is <state>

    Examples:
      | does                                             | state                 |
      | is idle for 3600 s                               | open                  |
      | starts a message and waits for 9 s               | open                  |
      | starts a message and waits for 11 s              | closed                |
      | sends a byte of a message each second for 11 s   | closed                |
      | begins and sends a byte each second for 4 s      | in failed transaction |
      | asks ahead and reads no answer for 11 s          | closed                |
