Feature: Log lines about a request
  An engineer finds the cause of a failed request from its id.

  Scenario: The lines about a request and the state changes before it
    # Guards against a selection without the state changes that caused the decision.
    Given the logs of two instances that lost a primary
    When the request "c7" is explained
    Then the selected lines have, in order: "member unreachable", "primary changed", "id=c7"
    And no line about "c8" and no line of the other instance is selected

  Scenario: An unknown request
    # Guards against an empty selection that is reported as a success.
    Given the logs of two instances that lost a primary
    When the command explains the request "c9"
    Then it fails and says "no log names the request c9"

  Scenario Outline: The volume of the log is bounded
    # Guards against a log whose volume grows with the load, and against lines that
    # are dropped without being counted.
    Given a full log budget
    When <lines> lines are logged within <seconds> s
    Then <written> lines are written and the others are counted as dropped

    Examples:
      | lines | seconds | written |
      | 500   | 1       | 500     |
      | 5000  | 1       | 799     |

  Scenario Outline: The platform's settings are checked by command
    # Guards against an invalid value that is found only when an instance starts.
    When the command checks a platform's settings file with "<line>"
    Then it ends with the status <status> and says "<text>"

    Examples:
      | line                 | status | text                            |
      | Unknown=1            | 0      | accepted                        |
      | Bounds.GraceS=soon   | 2      | Bounds.GraceS = 'soon' is not   |

  Scenario: The log says how often an instance calls the store and its peers
    # Guards against an incident in which nothing tells whose calls are expensive: on
    # saltbush-swap-grown, calls to the store cost a quarter of the worth.
    Given an instance that has called the store 3 times and sent 2 datagrams
    When the interval of the activity log has passed
    Then a line says "store_calls=members/ok:3" and "datagrams=sent/TokenRequest:2"
