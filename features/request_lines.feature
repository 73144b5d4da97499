Feature: The story of a request
  An engineer finds the cause of a failed request from its id.

  Scenario: The lines of a request and the changes of belief before it
    # Guards against a story that leaves out why an instance decided as it did.
    Given the logs of two instances around a lost primary
    When the request "c7" is explained
    Then the story has, in order: "member unreachable", "primary changed", "id=c7"
    And it has no line of "c8" and none of the other instance

  Scenario: An unknown request
    # Guards against an empty story that looks like a good one.
    Given the logs of two instances around a lost primary
    When the command explains the request "c9"
    Then it fails and says "no log names the request c9"

  Scenario Outline: The volume of the log is bounded
    # Guards against a log that grows with the load, or that drops lines in silence.
    Given a log budget that is full
    When <lines> lines come within <seconds> s
    Then <written> are written and the others are counted

    Examples:
      | lines | seconds | written |
      | 500   | 1       | 500     |
      | 5000  | 1       | 799     |

  Scenario Outline: The platform's settings are checked by command
    # Guards against finding a bad value only at the start of an instance.
    When the command checks a platform's settings file with "<line>"
    Then it ends with the status <status> and says "<text>"

    Examples:
      | line                 | status | text                            |
      | Unknown=1            | 0      | accepted                        |
      | Bounds.GraceS=soon   | 2      | Bounds.GraceS = 'soon' is not   |
