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

  Scenario: An instance hands the last of several versions on
    # Guards against neighbours without a path to the store that get an older version, and
    # to which it is confirmed.
    Given 2 instances in one failure domain, with links of 9000 kB/s to the store
    When the store refuses instance 2
    And the store answers nobody while 3 versions are published, the last with its key withdrawn
    Then instance 1 refuses the key within 3 s
    And instance 2 refuses the key within 3 s

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

  Scenario Outline: A list that is read has the newest version of each row
    # Guards against a removed or replaced entry that counts, and against a list that ends
    # at a page with entries that can't be read, and counts as complete.
    When a list is read whose pages are <pages>
    Then the list is <rows>

    Examples:
      | pages              | rows     |
      | a@1 a@2            | a@2      |
      | a@2 a@1            | a@2      |
      | a@1 a@2-removed    | empty    |
      | a@0                | empty    |
      | a@1 / b@2          | a@1 b@2  |
      | a@odd / b@2        | b@2      |
      | a@1 b@odd / c@2    | a@1 c@2  |
      | odd / b@2          | unknown  |

  Scenario Outline: The configuration is read to the last page, of one epoch
    # Guards against requests on a later page that are missed, and against a page of a
    # restored store that counts beside one of the lost history.
    When the configuration is read whose pages are <pages>
    Then evacuations of <domains> are known in epoch <epoch> after <calls> calls

    Examples:
      | pages                                                                   | domains | epoch | calls |
      | config@4 evacuate/z1@5                                                  | z1      | 3     | 1     |
      | config@4 / evacuate/z1@5                                                | z1      | 3     | 2     |
      | config@4 / evacuate/z1@5 / evacuate/z2@6                                | z1 z2   | 3     | 3     |
      | config@4 / epoch=4 evacuate/z1@5 end / config@4 / evacuate/z2@5         | z2      | 4     | 4     |

  Scenario Outline: A record that is read has its newest version
    # Guards against a lease or a lock that is taken from an older version.
    When a record is read and the answer has <rows>
    Then the record has version <version>

    Examples:
      | rows            | version |
      | a@4 a@6         | 6       |
      | a@6 a@4         | 6       |
      | a@4 a@6-removed | 0       |
      | a@0             | 0       |

  Scenario Outline: The marker of an epoch that is read has its newest version
    # Guards against writes that depend on a marker that was replaced.
    When the marker of epoch 3 is read and the answer has <rows>
    Then the marker has version <version>

    Examples:
      | rows                    | version |
      | epoch-3@4 epoch-3@6     | 6       |
      | epoch-2@8 epoch-3@6     | 6       |
