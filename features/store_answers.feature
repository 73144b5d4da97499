Feature: Answers of the store that name a row several times
  The feed of the store has a row once for each change since the last answer. After an
  outage, or when an instance has been slow, one answer brings several versions of it.

  Scenario: The log tells which of several versions was chosen
    # Guards against an outdated configuration that no line of the log explains.
    Given an instance with stand-ins for the store and the members
    When the store answers nobody while 3 versions are published
    Then a line of the log names the 3 versions and the chosen one
