import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, numbers are longs or doubles. */
final class Json {
    private final String text;
    private int pos;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static String write(Object value) {
        if (value == null) return "null";
        if (value instanceof Map<?, ?> map) {
            List<String> parts = new ArrayList<>();
            map.forEach((k, v) -> parts.add(quote(k.toString()) + ":" + write(v)));
            return "{" + String.join(",", parts) + "}";
        }
        if (value instanceof List<?> list) return "[" + String.join(",", list.stream().map(Json::write).toList()) + "]";
        if (value instanceof String s) return quote(s);
        return value.toString();
    }

    /** Builds an object from alternating keys and values. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    private static String quote(String s) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : s.toCharArray()) {
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        return out.append('"').toString();
    }

    private void space() {
        while (pos < text.length() && Character.isWhitespace(text.charAt(pos))) pos++;
    }

    private boolean take(char c) {
        space();
        if (pos < text.length() && text.charAt(pos) == c) {
            pos++;
            return true;
        }
        return false;
    }

    private Object value() {
        space();
        char c = text.charAt(pos);
        if (c == '{') {
            pos++;
            Map<String, Object> map = new LinkedHashMap<>();
            if (take('}')) return map;
            do {
                space();
                String key = string();
                if (!take(':')) throw new IllegalArgumentException("':' expected at " + pos);
                map.put(key, value());
            } while (take(','));
            if (!take('}')) throw new IllegalArgumentException("'}' expected at " + pos);
            return map;
        }
        if (c == '[') {
            pos++;
            List<Object> list = new ArrayList<>();
            if (take(']')) return list;
            do list.add(value()); while (take(','));
            if (!take(']')) throw new IllegalArgumentException("']' expected at " + pos);
            return list;
        }
        if (c == '"') return string();
        int start = pos;
        while (pos < text.length() && "+-.0123456789eEabcdfghijklmnopqrstuvwxyz".indexOf(text.charAt(pos)) >= 0) pos++;
        String word = text.substring(start, pos);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        pos++;
        while (text.charAt(pos) != '"') {
            char c = text.charAt(pos++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char e = text.charAt(pos++);
            switch (e) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(pos, pos + 4), 16));
                    pos += 4;
                }
                default -> out.append(e);
            }
        }
        pos++;
        return out.toString();
    }
}
