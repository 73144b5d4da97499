Feature: Operators' commands
  Commands call the administration API over loopback and exit with the status of the
  outcome.

  Scenario: Operators change the configuration
    # Guards against a command that reports a success as a refusal or the reverse.
    When an operator runs these commands against one instance
      | command                                                  | status | shows                                       |
      | workspace create branch                                  | 0      | version                                     |
      | workspace create branch                                  | 1      | workspace branch exists already             |
      | workspace create other --database nowhere                | 1      | no database nowhere                         |
      | workspace list --output json                             | 0      | "effective": {                              |
      | limits set branch --rate 20 --burst 40                   | 0      | version                                     |
      | limits set branch --rate 5000                            | 1      | above the head office's highest rate of 100 |
      | limits set branch                                        | 2      | give at least one of                        |
      | head-office set highest --rate 10                        | 1      | the default rate 50.0 is above              |
      | head-office set default --rate 5                         | 0      | version                                     |
      | head-office set highest --rate 10                        | 0      | version                                     |
      | workspace list --output json                             | 0      | "rate": 10.0                                |
      | head-office show                                         | 0      | highest.rate                                |
      | preset define rush --queue-limit 10 --queue-wait-ms 500  | 0      | version                                     |
      | preset select rush                                       | 0      | version                                     |
      | preset select nothing                                    | 1      | defined are maintenance, ordinary, peak     |
      | preset list                                              | 0      | rush                                        |
      | preset select peak --expected-version 2                  | 3      | preset: yours=peak current=rush             |
      | database leave swap1                                     | 0      | version                                     |
      | database leave nowhere                                   | 1      | no database nowhere                         |
      | status show                                              | 0      | databases.swap1.is_leaving                  |
      | key issue nobody                                         | 1      | no workspace nobody                         |
      | key withdraw nothing                                     | 1      | no key has this id                          |
      | status show --admin nonsense                             | 2      | expected IP:port                            |
      | status show --credential wrong                           | 1      | credential is missing or wrong              |
      | status show --admin 127.0.0.1:9                          | 1      | unreachable                                 |

  Scenario: A key is shown once and withdrawn
    # Guards against a key that is stored or logged in plain text, and against a
    # withdrawal whose answer does not state whether it is in force.
    When an operator issues a key and withdraws it
    Then the key appears in no stored row and in no log line
    And the withdrawal was in force on every instance

  Scenario: The answer to a change is lost
    # Guards against a stored change that is reported as failed or applied twice,
    # and against the reuse of a connection that has stopped answering.
    When an operator selects "peak" and the platform does not answer the write
    Then the command ends with status 0 and the platform stored the change once

  Scenario: The platform is down
    # Guards against a refusal that does not state that nothing was changed.
    When an operator selects "peak" while the platform is down
    Then the command ends with status 1 and says "nothing was changed"

  Scenario: The control task informs the gateway and the owner
    # Guards against a subscriber that keeps an outdated snapshot because its
    # channel was full when the state changed.
    When one instance runs for 3 s
    Then the newest snapshot has authority and the owner has an active seat of 10

  Scenario Outline: A settings file is checked
    # Guards against invalid settings that are found only after the instance started.
    When an operator checks settings with "<line>" in section platform
    Then the check ends with status <status> and says "<text>"

    Examples:
      | line             | status | text                                |
      | timeout_ms = 500 | 0      | accepted                            |
      | timeout_ms = no  | 2      | expected a whole number of at least |

  Scenario Outline: The policies of an experiment are checked
    # Guards against an experiment that measures the default policy because the
    # name of an option or of a policy is wrong.
    When an operator checks settings with "<line>" in section experiment
    Then the check ends with status <status> and says "<text>"

    Examples:
      | line                  | status | text                          |
      | pooling = independent | 0      | accepted                      |
      | queueing = random     | 2      | expected fair or fifo         |
      | rate = even           | 2      | no such option in this section |
