Feature: Answers of the store that name a row several times
  The feed of the store has a row once for each change since the last answer. After an
  outage, or when an instance has been slow, one answer brings several versions of it.

  Scenario Outline: The last of the versions that an outage has held back is in force
    # Guards against an instance that uses the first version of an answer, goes on
    # reading behind the last one, and so serves a withdrawn key until the next change.
    Given an instance with stand-ins for the store and the members
    When the store answers nobody while 3 versions are published, the last with <change>
    Then operations of the caller are refused with "<reason>"

    Examples:
      | change                              | reason                |
      | its key withdrawn                   | NOAUTH                |
      | its route removed                   | NODB                  |
      | a lower rate of its workspace       | above its rate of 1/s |

  Scenario Outline: The newest readable configuration of an answer is used
    # Guards against an older configuration that is used, or counts as the newest one.
    When an answer has the configurations <versions>
    Then the configuration is <used>, and the store <has> it still

    Examples:
      | versions               | used | has     |
      | 4                      | 4    | has     |
      | 4, 5, 6                | 6    | has     |
      | 6, 4, 5                | 5    | has     |
      | 4, 5, unreadable       | 5    | has     |
      | 4, unreadable, 6       | 6    | has     |
      | unreadable             | none | has     |
      | 4, removed, 6          | 6    | has     |
      | removed                | none | has not |
      | 4, removed             | 4    | has not |

  Scenario Outline: The newest request for an evacuation counts
    # Guards against an evacuation that was taken back within one answer, and lasts.
    When an answer says that an evacuation was <changes>
    Then the failure domain <is> evacuated

    Examples:
      | changes                        | is     |
      | requested                      | is     |
      | requested, taken back          | is not |
      | taken back, requested          | is     |

  Scenario: The log tells which of several versions was chosen
    # Guards against an outdated configuration that no line of the log explains.
    Given an instance with stand-ins for the store and the members
    When the store answers nobody while 3 versions are published, the last with no change
    Then a line of the log names the 3 versions and the chosen one
