Feature: a node's append of callers' records is acknowledged only by evidence of its own

  Scenario: another node's append of a repeated submission does not acknowledge this node's append
    Given a node whose append of jobs a1 and a2 is in flight
    When another node's record of job/a1 is read
    Then only the caller of job/a1 is answered, with done
    And the append in flight is not dropped
    When the store's answer to append 2 is lost
    Then the caller of job/a2 is answered unknown

  Scenario: another node's cancellation of one job does not acknowledge that of another
    Given a node whose append of cancellations of a1 and a2 is in flight
    When another node's record of cancel/a2 is read
    Then only the caller of cancel/a2 is answered, with done

  Scenario Outline: the deletion of a key acknowledges no caller
    Given a node whose append of jobs a1 and a2 is in flight
    When the deletion of <key> is read
    Then no caller is answered
    And the append in flight is not dropped

    Examples:
      | key       |
      | job/a1    |
      | append/n1 |

  Scenario Outline: an append record of something else acknowledges no caller
    Given a node whose append of jobs a1 and a2 is in flight
    When the append record <key> with <incarnation> and <number> is read
    Then no caller is answered
    And the append in flight is not dropped

    Examples:
      | key       | incarnation | number |
      | append/n2 | life-1      | 2      |
      | append/n1 | life-0      | 2      |
      | append/n1 | life-1      | 1      |
      | append/n1 | life-1      | 3      |

  Scenario Outline: a malformed record acknowledges no caller
    Given a node whose append of jobs a1 and a2 is in flight
    When a malformed record of <key> is read
    Then no caller is answered
    And the append in flight is not dropped

    Examples:
      | key       |
      | job/a1    |
      | append/n1 |

  Scenario: a malformed repetition of a known job acknowledges no caller
    Given a node that knows job a1
    And the node's append of jobs a1 and a2 is in flight
    When a malformed record of job/a1 is read
    Then no caller is answered

  Scenario: an append whose answer is lost is acknowledged by reading its own records
    Given a node whose append of jobs a1 and a2 is in flight
    And job a3 waits for the next append
    When the records of append 2 are read
    Then the callers of job/a1 and job/a2 are answered done
    And append 3 holds job/a3 and its append record
    And 1 appends were acknowledged by "read" and 1 by "answer"

  Scenario: reading an append that the store has answered does not acknowledge it again
    Given a node whose append of jobs a1 and a2 is in flight
    When the store answers append 2
    Then the callers of job/a1 and job/a2 are answered done
    And 0 appends were acknowledged by "read" and 2 by "answer"
    When the records of append 2 are read
    Then 0 appends were acknowledged by "read" and 2 by "answer"

  Scenario: an append that is carried out after its timeout does not acknowledge the next one
    Given a node whose append of jobs a1 and a2 is in flight
    And job a3 waits for the next append
    When the store's answer to append 2 is lost
    Then the caller of job/a3 is not answered
    When the records of append 2 are read
    Then the caller of job/a3 is not answered
    And the append in flight is not dropped

  Scenario: a late answer to an append that was read does not complete the next one
    Given a node whose append of jobs a1 and a2 is in flight
    And job a3 waits for the next append
    When the records of append 2 are read
    And the store answers append 2
    Then the caller of job/a3 is not answered

  Scenario: no append begins while one is in flight whose callers are all answered
    Given a node whose append of jobs a1 and a2 is in flight
    And job a3 waits for the next append
    When another node's record of job/a1 is read
    And another node's record of job/a2 is read
    Then the callers of job/a1 and job/a2 are answered done
    And the append in flight is not dropped
    And 2 appends were sent
    When the store's answer to append 2 is lost
    Then append 3 holds job/a3 and its append record

  Scenario: a job that is read before its append begins is not stored again
    Given a node whose append of jobs a1 and a2 is in flight
    And job a3 waits for the next append
    When another node's record of job/a3 is read
    Then only the caller of job/a3 is answered, with done
    When the store answers append 2
    Then 2 appends were sent

  Scenario: two callers of one job are both answered by the record of another node
    Given a node whose append of jobs a1 and a1 is in flight
    When another node's record of job/a1 is read
    Then both callers of job/a1 are answered done

  Scenario: answers are counted by customer, and those of too many customers summed
    Given an entry that answers calls of 60 customers, and 3 of nobody
    Then the first 49 customers have a count of 1 each
    And the other 11 customers are counted as "other"
    And no count has an empty customer

  Scenario: a call refused for its key is logged with its job, and without the key
    Given 1 nodes with customers on an emulated platform
    When a caller submits job 00000000000000c4 with the key "k-not-known"
    Then this call gets status 401
    And a line CallRefused names job 00000000000000c4, its queue and no-key
    And no line contains "k-not-known"
