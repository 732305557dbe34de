Feature: the adapter translates, and refuses what it cannot read

  Scenario: the settings file gives a node's settings
    Given a settings file of the platform
    Then its node, addresses and bounds are read
    And fields that are not known are ignored

  Scenario Outline: a settings file that is not whole is refused by name
    Given a settings file of the platform
    When the setting <field> is <value>
    Then it is refused naming "<field>" and what is allowed

    Examples:
      | field                | value   |
      | nodeName             | missing |
      | listen.front         | missing |
      | platform.address     | 7       |
      | limits.linkMbps      | fast    |
      | bounds.maxHoldMs     | soon    |
      | bounds.graceS        | true    |

  Scenario: records of the store are framed as they are read
    Then an append of two records and a read of them agree with bytes written by hand
    And a read that is cut short is refused

  Scenario Outline: what became of an append
    Then an answer of <status> with <body> means <fate>

    Examples:
      | status | body                  | fate            |
      | 412    | {"end":9}             | MOVED_ON        |
      | 409    | {"reason":"fenced"}   | FENCED          |
      | 409    | {"reason":"seq"}      | OUT_OF_SEQUENCE |
      | 429    |                       | NOT_DONE        |
      | 503    |                       | NOT_DONE        |
      | 507    |                       | NOT_DONE        |
      | 500    |                       | UNKNOWN         |
      | 0      | sent                  | UNKNOWN         |
      | 0      | unsent                | NOT_DONE        |

  Scenario Outline: what became of an order to an executor
    Then an order answered <status> with <body> was <result>

    Examples:
      | status | body                            | result     |
      | 200    | {"clockMs":5}                   | TAKEN      |
      | 409    | {"clockMs":5,"reason":"fence"}  | FENCED     |
      | 409    | {"clockMs":5,"reason":"old"}    | OUTDATED   |
      | 409    | {"clockMs":5,"reason":"late"}   | LATE       |
      | 409    | {"clockMs":5,"reason":"room"}   | NO_ROOM    |
      | 409    | {"clockMs":5,"reason":"ticket"} | BAD_TICKET |
      | 409    | {"clockMs":5,"reason":"odd"}    | REJECTED   |
      | 421    |                                 | WRONG_LIFE |
      | 503    |                                 | NOT_DONE   |
      | 429    |                                 | NOT_DONE   |
      | 400    |                                 | REJECTED   |
      | 500    |                                 | NO_ANSWER  |
      | 0      | sent                            | NO_ANSWER  |
      | 0      | unsent                          | NOT_DONE   |

  Scenario: an executor's report becomes runs and ends
    Then a report with two runs and an end is decoded
    And a report with an unknown way to end is rejected

  Scenario: a step's fields become a step with our names
    Then a step with every field set is decoded

  Scenario Outline: operators' records that cannot be read are refused
    Then the <kind> record <value> is refused

    Examples:
      | kind   | value                                        |
      | config | []                                           |
      | config | {"version":1,"routes":{}}                    |
      | config | {"version":1,"routes":[{"name":"x"}],"services":[]} |
      | wave   | {"wave":1,"machines":[7]}                    |
      | wave   | {"machines":[]}                              |
