Feature: the platform adapter decodes valid data and rejects invalid data

  Scenario: a settings file is read into a node's settings
    Given a settings file of the platform
    Then its node, addresses, limits and bounds are read
    And unknown fields are ignored

  Scenario Outline: a missing or invalid setting is rejected by name
    Given a settings file of the platform
    When the setting <field> is <value>
    Then it is rejected with an error that names "<field>" and what is allowed

    Examples:
      | field                | value   |
      | nodeName             | missing |
      | listen.front         | missing |
      | platform.address     | 7       |
      | limits.linkMbps      | fast    |
      | bounds.maxHoldMs     | soon    |
      | bounds.graceS        | true    |
      | limits.maxFds        | 0       |
      | limits.maxFds        | many    |
      | limits.memoryMb      | -1      |

  Scenario: appends and reads use the store's record format
    Then an append and a read of two records match the expected bytes
    And a truncated read is rejected

  Scenario Outline: the result of a failed append
    Then an append answered <status> with <body> failed as <fate>

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

  Scenario Outline: the result of an order to an executor
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

  Scenario: an executor's report is decoded into runs and ends
    Then a report of two runs and one end is decoded
    And a report with an unknown outcome is rejected
    And only a report of 500 ends tells that there may be more

  Scenario: all fields of a submitted step are decoded
    Then a step with every field set is decoded

  Scenario Outline: operators' records that are not valid are rejected
    Then the <kind> record <value> is rejected

    Examples:
      | kind   | value                                        |
      | config | []                                           |
      | config | {"version":1,"routes":{}}                    |
      | config | {"version":1,"routes":[{"name":"x"}],"services":[]} |
      | wave   | {"wave":1,"machines":[7]}                    |
      | wave   | {"machines":[]}                              |
      | config | {"version":1,"routes":["x"],"services":[]}   |
      | config | {"version":1,"routes":[],"services":[7]}     |
      | config | {"version":1,"routes":[],"services":[],"tenants":[null]} |
      | config | {"version":1,"routes":[],"services":[],"tenants":[{"name":"c","weight":NaN}]} |
      | wave   | {"wave":1,"machines":[],"durationS":Infinity} |

  Scenario Outline: the error of an invalid configuration contains no key
    Then the error of the config record with <tenants> contains no "k-9f31"

    Examples:
      | tenants                             |
      | {"c":{"apiKeys":["k-9f31"]}}        |
      | [{"name":"c","apiKeys":"k-9f31"}]   |
      | [{"name":"c","apiKeys":["k-9f31",""]}] |
      | ["k-9f31"]                          |
      | [{"name":"c","apiKeys":["k-9f31\ud800"]}] |
