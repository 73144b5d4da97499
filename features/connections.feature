Feature: Connections
  Each answer is matched to its own call, and a peer that is slow isn't taken for dead.

  Scenario: A late answer on a connection reaches no other call
    # Guards against the reuse of a connection with an answer outstanding.
    Given a server on loopback that answers its first call after the deadline
    When two calls are made over one connection
    Then the first call ends without an answer and may have been sent
    And the second call gets no answer of the first

  Scenario: A caller that pauses while it reads a large answer gets all of it
    # Guards against a connection of a caller that the kernel aborts after 0.7 s, the limit
    # for connections between processes, although callers may take 10 s to read.
    Given an instance with stand-ins for the store and the members
    When a caller with a narrow window reads nothing for 2 s while a large answer is sent
    Then it gets the whole answer

  Scenario: A caller that takes no answer for too long is disconnected by the kernel
    # Guards against a dead caller whose connection has no limit at all.
    Given an instance with stand-ins for the store and the members
    And connections of callers that fail after 0.5 s without progress
    When a caller with a narrow window reads nothing for 2 s while a large answer is sent
    Then it does not get the whole answer

  Scenario: A caller beyond the limit of sessions gets its refusal and no reset
    # Guards against closing a connection whose START is unread: the reset can overtake
    # the refusal.
    Given an instance with stand-ins for the store and the members
    When a caller sends START while the limit of sessions is reached
    Then it gets ERR BUSY, and then the end of the stream

  Scenario Outline: An answer of the store is read as long as it makes progress
    # Guards against a transfer that is given up and starts over (incident CONFIG), and
    # against one that has stopped and is waited for without a limit.
    Given a server on loopback that sends its answer in parts, <parts>
    When it is called by <method> with a deadline of 0.3 s
    Then the call gets <outcome>

    Examples:
      | parts                     | method | outcome   |
      | 8 of them 0.1 s apart     | GET    | an answer |
      | 8 of them 0.1 s apart     | POST   | no answer |
      | 2 of them 5.0 s apart     | GET    | no answer |
      | the first after 0.5 s     | GET    | no answer |

  Scenario: Closing a client ends the call that is in progress
    # Guards against a transfer that goes on beside the next one on a full link.
    Given a server on loopback that never ends its answer
    When the client is closed during a call
    Then the server sees the end of the connection within 1 s
