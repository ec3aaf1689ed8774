Feature: Operators change the configuration
  Each change either takes effect completely on every node or is refused with a remedy.

  Scenario: A change is in force on every node
    When an operator amends template "current-issue" with deadline_ms 1900 at node 0
    Then the command ends with code 0
    And it says that the revision is in force on all nodes
    And the history ends with that change

  Scenario: Two teams prepare a change from the same state
    Given an operator has shown template "current-issue"
    And another team amends template "current-issue" meanwhile
    When the operator applies the change prepared before
    Then the command ends with code 1
    And it says "prepare the change anew"

  Scenario: A template must match the parameter sets that use it
    When an operator amends template "revision-check" without its parameter "model"
    Then the command ends with code 1
    And it says "parameters/permit-clerks/revision-check.values.model: not a parameter"

  Scenario: A parameter set must match its template
    When an operator sets value "length" of "ministry/revision-check" to "long"
    Then the command ends with code 1
    And it says "parameters/ministry/revision-check.values.length: it is not of type integer"

  Scenario: A template in use cannot be deleted
    When an operator deletes template "transmittal"
    Then the command ends with code 1
    And it says "template 'transmittal' does not exist"

  Scenario: A parameter set does not apply to a later template of the same name
    Given a template "notice" and a parameter set written for it
    And the template "notice" is deleted and created anew by another team
    When the operator applies the parameter set
    Then the command ends with code 1
    And it says "show the template, check that the values still suit it"

  Scenario: A repeated change takes effect once
    When an operator applies the change "twice" two times
    Then both commands end with code 0 and name the same revision

  Scenario: An invalid settings file is refused with file, key and remedy
    When an operator checks settings without a platform
    Then the command ends with code 2
    And it says "missing required field"

  Scenario: A node shows its status and costs
    When an operator asks for status and costs
    Then the command ends with code 0
    And it says "Revision"
