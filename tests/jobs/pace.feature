Feature: the pace of fill tasks beside orders that are carried out late

  A serving task with a target of 100 ms and fill tasks run on an executor, which reports
  each 0.25 s. An order that gets no answer is carried out 2 to 12 s later, after newer
  ones. A serving task may be over its target for 4 s on end beside a fill task at work.

  Scenario Outline: a fill task that a late order sets to work again is halted again
    Guards against HARM: the pace that was ordered last counted as the one in force, so
    that no further order followed however long the serving task was over its target.
    Given <fills> fill tasks that disturb, and are halted
    When they disturb no more, and an order for 50% is carried out <late_s> s late
    And they disturb again for 30 s
    Then the serving task was over its target for at most 4 s on end

    Examples:
      | fills | late_s |
      | 1     | 2      |
      | 1     | 6      |
      | 1     | 12     |
      | 3     | 6      |

  Scenario: a late order of the former scheduler is overridden
    Guards against HARM, as above; the next scheduler has no record of that order.
    Given 1 fill tasks that disturb, and are halted
    When they disturb no more, and an order for 50% is carried out 8 s late
    And another scheduler takes over, and they disturb again for 30 s
    Then the serving task was over its target for at most 4 s on end

  Scenario: a fill task that a late order has halted does not stay halted
    Given 1 fill tasks that do not disturb
    When an order to halt them is carried out 8 s late
    And they do not disturb for 30 s
    Then all of them work at 100%

  Scenario: no orders follow while a serving task is slow for another reason
    Given 2 fill tasks that disturb, and are halted
    When the serving task is slow by itself for 60 s
    Then no order was sent in this time

  Scenario: the pace follows the load after half of the orders were carried out late
    Given the pace of fill tasks is simulated with seeds 1 to 60
    Then no serving task was over its target for more than 4 s on end once all was calm
    And all fill tasks work at 100% once they disturb no more
