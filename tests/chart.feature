Feature: chart

  Scenario: the charts of the package are valid
    Then the chart "vm" starts in "serving" and the chart "batch" in "opened"

  Scenario Outline: an invalid chart is rejected
    Then the chart text "<text>" is rejected with "<error>"

    Examples:
      | text                                | error             |
      | [chart];initial=a;[a];go=b          | unknown state     |
      | [chart];initial=b;[a];go=a          | unknown state     |
      | [a];go=a                            | unknown state     |
      | [chart];initial=a;[a];go=a;go=a     | already exists    |
      | [chart];initial=a;[a];go=a;[b];go=a | cannot be reached |

  Scenario: a trigger that a state does not accept is refused
    Then the chart "vm" refuses "reboot_ordered" when "serving"
