Feature: Sessions and acknowledgements
  A session asks the acknowledgement task before it sends a write or a COMMIT, and again
  before it tells its caller of the commit.

  Scenario Outline: A session waits for the acknowledgement task
    # Guards against a caller that is told of a commit which a promotion may lose, against
    # a refusal as not run of a commit that was sent, and against delays for reads.
    Given an acknowledgement task whose answer to writes is "<writable>" and to commits "<confirmed>"
    When a session runs a <kind>
    Then its caller gets "<answer>"
    And the member has run "<run>"
    And the acknowledgement task was asked "<asked>"
    And the router is told of "<told>", and the session is at <position>

    Examples:
      | kind                  | writable | confirmed | answer                            | run                | asked           | told                      | position |
      | write                 | yes      | yes       | done permit                       | write              | writable,writable,commit | confirmed 3.7    | 3.7      |
      | write                 | yes      | no        | indoubt unknown: no permit        | write              | writable,writable,commit | unconfirmed 3.7  | 3.7      |
      | write                 | no       | yes       | busy not_run: suspended           | nothing            | writable        | nothing                   | none     |
      | read                  | no       | no        | done                              | read               | nothing         | nothing                   | none     |
      | writing transaction   | yes      | yes       | done permit                       | begin,write,commit | writable,commit | begun 3.7,confirmed 3.7   | 3.7      |
      | writing transaction   | yes      | no        | indoubt unknown: no permit        | begin,write,commit | writable,commit | begun 3.7,unconfirmed 3.7 | 3.7      |
      | writing transaction   | no       | yes       | aborted not_run: suspended        | begin,write,rollback | writable      | begun 3.7                 | none     |
      | reading transaction   | no       | no        | done                              | begin,read,commit  | nothing         | begun 3.7                 | none     |

  Scenario Outline: A session does not wait for ever
    # Guards against sessions that hang because the acknowledgement task has failed.
    Given an acknowledgement task whose answer to writes is "<writable>" and to commits "<confirmed>"
    When a session runs a <kind>
    Then its caller gets "<answer>"
    And every connection that it leased was returned

    Examples:
      | kind                | writable | confirmed | answer                                                |
      | write               | never    | yes       | busy not_run: the instance did not decide in time     |
      | write               | yes      | never     | indoubt unknown: the instance did not decide in time  |
      | writing transaction | never    | yes       | aborted not_run: the instance did not decide in time  |
      | writing transaction | yes      | never     | indoubt unknown: the instance did not decide in time  |

  Scenario Outline: A session holds its connection only as long as the statement
    # Guards against connections that are lost to the pool after a commit in doubt.
    Given an acknowledgement task whose answer to writes is "<writable>" and to commits "<confirmed>"
    When a session runs a <kind>
    Then every connection that it leased was returned

    Examples:
      | kind                | writable | confirmed |
      | write               | yes      | yes       |
      | write               | yes      | no        |
      | write               | no       | yes       |
      | writing transaction | yes      | no        |
      | writing transaction | no       | yes       |

  Scenario Outline: The log names why a write was acknowledged
    # Guards against an incident in which nobody can tell on what an instance relied.
    Given an acknowledgement task whose answer to writes is "yes" and to commits "<confirmed>"
    When a session runs a write
    Then the log line of the statement ends with "<end>"

    Examples:
      | confirmed | end                                                                        |
      | yes       | outcome=done rows=0 position=3.7 basis=permit                               |
      | no        | peer=a reason='the write may have taken effect: no permit'                  |
