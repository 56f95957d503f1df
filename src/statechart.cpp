#include "statechart.h"

#include <boost/property_tree/ptree.hpp>
#include <boost/property_tree/xml_parser.hpp>

#include <algorithm>
#include <set>
#include <sstream>

namespace briarvane
{

namespace
{

using Tree = boost::property_tree::ptree;

/// The first fault found. `element` is the start tag of the faulty element.
struct Fault
{
    std::string element;
    std::string what;
};

/// A state as written in the file, before nesting is resolved.
struct StateNode
{
    std::string id;
    std::string parent;  // empty for a top-level state
    bool final = false;
    bool compound = false;  // has inner states
    std::string initialChild;
    std::vector<std::size_t> onEntry;
    std::vector<std::size_t> onExit;

    struct Transition
    {
        std::vector<std::size_t> events;
        std::optional<std::size_t> guard;
        std::string target;  // empty: the state is neither left nor entered
        std::vector<std::size_t> actions;
        std::string element;  // start tag and state, for error messages
    };
    std::vector<Transition> transitions;
};

/// Formats the start tag of an element, for error messages.
std::string describe(std::string_view tag, const Tree &tree)
{
    std::string text = "<" + std::string(tag);
    if (const auto attributes = tree.get_child_optional("<xmlattr>")) {
        for (const auto &[key, value] : *attributes) {
            text += " " + key + "=\"" + value.data() + "\"";
        }
    }
    return text + ">";
}

std::string attribute(const Tree &tree, const std::string &name)
{
    return tree.get<std::string>("<xmlattr>." + name, "");
}

std::vector<std::string> splitWords(const std::string &text)
{
    std::istringstream stream(text);
    return {std::istream_iterator<std::string>(stream), std::istream_iterator<std::string>()};
}

std::string join(const std::vector<std::string_view> &names)
{
    std::string text;
    for (const std::string_view name : names) {
        text += text.empty() ? "" : ", ";
        text += name;
    }
    return text.empty() ? "none" : text;
}

class ChartReader
{
public:
    explicit ChartReader(const ChartNames &names)
        : m_names(names)
    {
    }

    std::optional<Fault> read(const Tree &document);
    std::optional<Fault> flatten(ChartTable &table);

private:
    std::optional<Fault> checkAttributes(std::string_view tag, const Tree &tree, const std::set<std::string> &accepted);
    std::optional<Fault> find(const std::string &element, const char *kind, const std::string &name,
                              const std::vector<std::string_view> &names, std::size_t &index);
    std::optional<Fault> readActions(std::string_view tag, const Tree &tree, std::vector<std::size_t> &actions);
    std::optional<Fault> readTransition(const Tree &tree, StateNode &state);
    std::optional<Fault> readState(std::string_view tag, const Tree &tree, const std::string &parent);
    std::optional<Fault> readInitial(const Tree &tree, std::string &target);
    std::optional<Fault> addTransitions(const StateNode &leaf, const StateNode &source, ChartState &state);
    std::optional<Fault> checkReachable(const ChartTable &table);
    StateNode *findNode(const std::string &id);
    const StateNode &initialLeaf(const StateNode &target);
    std::size_t stateIndex(const std::string &id) const;
    void appendEntryActions(const StateNode &target, const std::string &insideParent,
                            std::vector<std::size_t> &actions);

    const ChartNames &m_names;
    std::vector<StateNode> m_states;
    std::string m_initial;
};

std::optional<Fault> ChartReader::checkAttributes(std::string_view tag, const Tree &tree,
                                                  const std::set<std::string> &accepted)
{
    const auto attributes = tree.get_child_optional("<xmlattr>");
    if (!attributes) {
        return std::nullopt;
    }
    for (const auto &[key, value] : *attributes) {
        if (!accepted.contains(key)) {
            return Fault{describe(tag, tree), "attribute " + key + " is not supported"};
        }
    }
    return std::nullopt;
}

std::optional<Fault> ChartReader::find(const std::string &element, const char *kind, const std::string &name,
                                       const std::vector<std::string_view> &names, std::size_t &index)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) {
        return Fault{element, "unknown " + std::string(kind) + " \"" + name + "\"; accepted: " + join(names)};
    }
    index = static_cast<std::size_t>(found - names.begin());
    return std::nullopt;
}

std::optional<Fault> ChartReader::readActions(std::string_view tag, const Tree &tree, std::vector<std::size_t> &actions)
{
    for (const auto &[child, content] : tree) {
        if (child == "<xmlattr>") {
            continue;
        }
        const std::string element = describe(child, content);
        if (child != "raise" && child != "send") {
            return Fault{element, "not accepted in <" + std::string(tag) + ">; accepted: raise, send"};
        }
        if (auto fault = checkAttributes(child, content, {"event"})) {
            return fault;
        }
        std::size_t index = 0;
        if (auto fault = find(element, "action", attribute(content, "event"), m_names.actions, index)) {
            return fault;
        }
        actions.push_back(index);
    }
    return std::nullopt;
}

std::optional<Fault> ChartReader::readTransition(const Tree &tree, StateNode &state)
{
    StateNode::Transition transition;
    transition.element = describe("transition", tree) + " in state \"" + state.id + "\"";
    if (auto fault = checkAttributes("transition", tree, {"event", "cond", "target"})) {
        return fault;
    }
    const auto events = splitWords(attribute(tree, "event"));
    if (events.empty()) {
        return Fault{transition.element, "a transition needs an event"};
    }
    for (const std::string &event : events) {
        if (auto fault = find(transition.element, "event", event, m_names.events, transition.events.emplace_back())) {
            return fault;
        }
    }
    if (const std::string guard = attribute(tree, "cond"); !guard.empty()) {
        if (auto fault = find(transition.element, "guard", guard, m_names.guards, transition.guard.emplace())) {
            return fault;
        }
    }
    transition.target = attribute(tree, "target");
    if (auto fault = readActions("transition", tree, transition.actions)) {
        return fault;
    }
    state.transitions.push_back(std::move(transition));
    return std::nullopt;
}

std::optional<Fault> ChartReader::readInitial(const Tree &tree, std::string &target)
{
    const auto transition = tree.get_child_optional("transition");
    if (tree.size() != 1 || !transition || attribute(*transition, "target").empty()) {
        return Fault{"<initial>", "takes one <transition> with a target"};
    }
    if (auto fault = checkAttributes("transition", *transition, {"target"})) {
        return fault;
    }
    target = attribute(*transition, "target");
    return std::nullopt;
}

std::optional<Fault> ChartReader::readState(std::string_view tag, const Tree &tree, const std::string &parent)
{
    const std::string element = describe(tag, tree);
    const bool final = tag == "final";
    if (auto fault
        = checkAttributes(tag, tree, final ? std::set<std::string>{"id"} : std::set<std::string>{"id", "initial"})) {
        return fault;
    }
    StateNode state;
    state.id = attribute(tree, "id");
    state.parent = parent;
    state.final = final;
    state.initialChild = attribute(tree, "initial");
    if (state.id.empty()) {
        return Fault{element, "a state needs an id"};
    }
    if (findNode(state.id) != nullptr) {
        return Fault{element, "duplicate id \"" + state.id + "\""};
    }
    const std::size_t position = m_states.size();
    m_states.push_back(state);  // added before its children, so that they cannot reuse its id
    for (const auto &[child, content] : tree) {
        std::optional<Fault> fault;
        if (child == "<xmlattr>") {
            continue;
        }
        if (child == "onentry") {
            fault = readActions(child, content, state.onEntry);
        } else if (child == "onexit" && !final) {
            fault = readActions(child, content, state.onExit);
        } else if (child == "transition" && !final) {
            fault = readTransition(content, state);
        } else if (child == "initial" && !final && state.initialChild.empty()) {
            fault = readInitial(content, state.initialChild);
        } else if ((child == "state" || child == "final") && !final && parent.empty()) {
            state.compound = true;
            fault = readState(child, content, state.id);
        } else {
            fault = Fault{describe(child, content), "not accepted in " + element};
        }
        if (fault) {
            return fault;
        }
    }
    if (!state.compound && !state.initialChild.empty()) {
        return Fault{element, "a state without inner states has no initial state"};
    }
    if (state.compound && state.initialChild.empty()) {
        state.initialChild = m_states[position + 1].id;  // SCXML default: the first inner state in document order
    }
    m_states[position] = std::move(state);
    return std::nullopt;
}

/// Reads the document into m_states and checks the names of its states.
std::optional<Fault> ChartReader::read(const Tree &document)
{
    const auto root = document.get_child_optional("scxml");
    if (!root || document.size() != 1) {
        return Fault{"document", "the root element must be <scxml>"};
    }
    const std::string element = describe("scxml", *root);
    if (auto fault = checkAttributes("scxml", *root, {"xmlns", "version", "name", "initial"})) {
        return fault;
    }
    if (attribute(*root, "xmlns") != "http://www.w3.org/2005/07/scxml" || attribute(*root, "version") != "1.0") {
        return Fault{element, "xmlns must be http://www.w3.org/2005/07/scxml and version 1.0"};
    }
    for (const auto &[child, content] : *root) {
        if (child == "<xmlattr>") {
            continue;
        }
        if (child != "state" && child != "final") {
            return Fault{describe(child, content), "not accepted in <scxml>; accepted: state, final"};
        }
        if (auto fault = readState(child, content, "")) {
            return fault;
        }
    }
    if (m_states.empty()) {
        return Fault{element, "the chart has no state"};
    }
    m_initial = attribute(*root, "initial");
    if (m_initial.empty()) {
        m_initial = m_states.front().id;
    }
    if (findNode(m_initial) == nullptr) {
        return Fault{element, "unknown state \"" + m_initial + "\""};
    }
    for (const StateNode &state : m_states) {
        const std::string tag = "<state id=\"" + state.id + "\">";
        const StateNode *child = state.compound ? findNode(state.initialChild) : nullptr;
        if (state.compound && (child == nullptr || child->parent != state.id)) {
            return Fault{tag, "its initial state \"" + state.initialChild + "\" is not one of its inner states"};
        }
        const bool isLeafName
            = std::find(m_names.states.begin(), m_names.states.end(), state.id) != m_names.states.end();
        if (!state.compound && !isLeafName) {
            return Fault{tag, "unknown state \"" + state.id + "\"; accepted: " + join(m_names.states)};
        }
        if (state.compound && isLeafName) {
            return Fault{tag, "\"" + state.id + "\" must not have inner states"};
        }
    }
    for (const std::string_view name : m_names.states) {
        if (findNode(std::string(name)) == nullptr) {
            return Fault{element, "state \"" + std::string(name) + "\" is missing"};
        }
    }
    return std::nullopt;
}

StateNode *ChartReader::findNode(const std::string &id)
{
    const auto found
        = std::find_if(m_states.begin(), m_states.end(), [&](const StateNode &state) { return state.id == id; });
    return found == m_states.end() ? nullptr : &*found;
}

const StateNode &ChartReader::initialLeaf(const StateNode &target)
{
    return target.compound ? *findNode(target.initialChild) : target;
}

std::size_t ChartReader::stateIndex(const std::string &id) const
{
    const auto found = std::find(m_names.states.begin(), m_names.states.end(), id);
    return static_cast<std::size_t>(found - m_names.states.begin());
}

/// Appends the entry actions for a transition to `target`, those of the parent first. `insideParent` is the parent that
/// the transition does not leave, empty when there is none; its entry actions do not run again.
void ChartReader::appendEntryActions(const StateNode &target, const std::string &insideParent,
                                     std::vector<std::size_t> &actions)
{
    const StateNode &leaf = initialLeaf(target);
    if (!leaf.parent.empty() && leaf.parent != insideParent) {
        const StateNode &parent = *findNode(leaf.parent);
        actions.insert(actions.end(), parent.onEntry.begin(), parent.onEntry.end());
    }
    actions.insert(actions.end(), leaf.onEntry.begin(), leaf.onEntry.end());
}

/// Adds the transitions that `source`, which is the leaf itself or its parent, defines.
std::optional<Fault> ChartReader::addTransitions(const StateNode &leaf, const StateNode &source, ChartState &state)
{
    // Events on which an unguarded transition of `source` applies; later transitions on them would never be taken.
    std::set<std::size_t> unguardedEvents;
    for (const StateNode::Transition &sourceTransition : source.transitions) {
        const StateNode *target = sourceTransition.target.empty() ? &leaf : findNode(sourceTransition.target);
        if (target == nullptr) {
            return Fault{sourceTransition.element, "unknown state \"" + sourceTransition.target + "\""};
        }
        ChartTransition transition;
        transition.guard = sourceTransition.guard;
        transition.target = stateIndex(initialLeaf(*target).id);
        // SCXML: a transition leaves the parent unless source and target are both inside the parent.
        const bool staysInside = !leaf.parent.empty() && source.id == leaf.id && target->parent == leaf.parent;
        if (!sourceTransition.target.empty()) {
            transition.actions = leaf.onExit;
            if (!leaf.parent.empty() && !staysInside) {
                const StateNode &parent = *findNode(leaf.parent);
                transition.actions.insert(transition.actions.end(), parent.onExit.begin(), parent.onExit.end());
            }
        }
        transition.actions.insert(transition.actions.end(), sourceTransition.actions.begin(),
                                  sourceTransition.actions.end());
        if (!sourceTransition.target.empty()) {
            appendEntryActions(*target, staysInside ? leaf.parent : "", transition.actions);
        }
        for (const std::size_t event : sourceTransition.events) {
            if (unguardedEvents.contains(event)) {
                return Fault{sourceTransition.element,
                             "never taken: an earlier transition takes " + std::string(m_names.events[event])};
            }
            if (!sourceTransition.guard) {
                unguardedEvents.insert(event);
            }
            transition.event = event;
            state.transitions.push_back(transition);
        }
    }
    return std::nullopt;
}

/// Reports the first state that no sequence of events reaches from the initial state.
std::optional<Fault> ChartReader::checkReachable(const ChartTable &table)
{
    std::set<std::size_t> reachable = {table.initial};
    std::vector<std::size_t> pending = {table.initial};
    while (!pending.empty()) {
        const std::size_t from = pending.back();
        pending.pop_back();
        std::set<std::size_t> handledEvents;  // events that an earlier unguarded transition handles
        for (const ChartTransition &transition : table.states[from].transitions) {
            if (handledEvents.contains(transition.event)) {
                continue;
            }
            if (!transition.guard) {
                handledEvents.insert(transition.event);
            }
            if (reachable.insert(transition.target).second) {
                pending.push_back(transition.target);
            }
        }
    }
    for (std::size_t state = 0; state < table.states.size(); ++state) {
        if (!reachable.contains(state)) {
            const std::string tag = table.states[state].final ? "final" : "state";
            return Fault{"<" + tag + " id=\"" + std::string(m_names.states[state]) + "\">", "the state is unreachable"};
        }
    }
    return std::nullopt;
}

/// Resolves nesting: fills `table` with the transitions of each leaf state, own ones before those of the parent.
std::optional<Fault> ChartReader::flatten(ChartTable &table)
{
    table.states.resize(m_names.states.size());
    for (const StateNode &leaf : m_states) {
        if (leaf.compound) {
            continue;
        }
        ChartState &state = table.states[stateIndex(leaf.id)];
        state.final = leaf.final;
        if (auto fault = addTransitions(leaf, leaf, state)) {
            return fault;
        }
        if (!leaf.parent.empty()) {
            if (auto fault = addTransitions(leaf, *findNode(leaf.parent), state)) {
                return fault;
            }
        }
    }
    table.initial = stateIndex(initialLeaf(*findNode(m_initial)).id);
    appendEntryActions(*findNode(m_initial), "", table.initialActions);
    return checkReachable(table);
}

}

Result<ChartTable> readChart(std::string_view file, std::string_view text, const ChartNames &names)
{
    Tree document;
    std::istringstream stream{std::string(text)};
    try {
        using namespace boost::property_tree::xml_parser;
        read_xml(stream, document, no_comments | trim_whitespace);
    } catch (const boost::property_tree::xml_parser_error &error) {
        return Error{ErrorCode::Invalid,
                     std::string(file) + ": line " + std::to_string(error.line()) + ": " + error.message()};
    }
    ChartReader reader(names);
    ChartTable table;
    auto fault = reader.read(document);
    if (!fault) {
        fault = reader.flatten(table);
    }
    if (fault) {
        return Error{ErrorCode::Invalid, std::string(file) + ": " + fault->element + ": " + fault->what};
    }
    return table;
}

}
