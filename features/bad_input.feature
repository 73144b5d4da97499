Feature: Bad input over a caller's connection
  Bad input of one caller affects no other caller, and where HTTP allows it the
  connection stays open.

  Scenario Outline: <input> is answered, and callers go on
    # Guards against input that ends a connection without need, or stops the instance.
    When bad input arrives: <input>
    Then it is answered with <status> <code>
    And its connection <goes on>
    And another caller is answered in time

    Examples:
      | input                                | status | code                | goes on |
      | a request without a key              | 401    | unauthorized        | goes on |
      | a request with a wrong key           | 401    | unauthorized        | goes on |
      | a session token that is not ASCII    | 400    | malformed_request   | goes on |
      | a HEAD request                       | 200    | nothing             | goes on |
      | a CONNECT request                    | 405    | malformed_request   | ends    |
      | a body that is too large             | 413    | malformed_request   | ends    |
      | a statement in a foreign transaction | 404    | unknown_transaction | goes on |
      | a read with a deadline that expires  | 503    | member_unreachable  | goes on |
      | a head one byte per second           | 0      | nothing             | ends    |
      | a request and reads no answer        | 0      | nothing             | ends    |
